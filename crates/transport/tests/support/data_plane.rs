//! The identity that a data plane sends in its `Hello`.

use protocol::{Hello, Plane};

pub fn hello(name: &str) -> Hello {
    Hello {
        name: name.to_owned(),
        process_incarnation: 1,
        plane: Plane::DataPlane,
        address: String::new(),
        zone: "z".into(),
        quorum: false,
        voter_incarnation: None,
    }
}

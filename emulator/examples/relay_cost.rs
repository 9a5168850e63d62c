//! Measures what a relay of the trials adds to a round trip. Direct and relayed round trips alternate; the output
//! is the median and the 99th percentile of both.

use fennelscale_lab::trial::relay::{Net, Party};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

const ROUND_TRIPS: usize = 20_000;

async fn round_trip(stream: &mut TcpStream) -> std::io::Result<f64> {
    let started = Instant::now();
    stream.write_all(&[1; 200]).await?;
    stream.read_exact(&mut [0; 200]).await?;
    Ok(started.elapsed().as_secs_f64() * 1e6)
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let target: SocketAddr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move {
                let mut bytes = [0; 200];
                while stream.read_exact(&mut bytes).await.is_ok() && stream.write_all(&bytes).await.is_ok() {}
            });
        }
    });
    let net = Net::default();
    let relayed = net.way(Party::Gateway(1), Party::Backend(1), target, true)?;
    let (mut direct, mut through) = (TcpStream::connect(target).await?, TcpStream::connect(relayed).await?);
    direct.set_nodelay(true)?;
    through.set_nodelay(true)?;
    let (mut direct_times, mut relayed_times) = (Vec::new(), Vec::new());
    for _ in 0..ROUND_TRIPS {
        direct_times.push(round_trip(&mut direct).await?);
        relayed_times.push(round_trip(&mut through).await?);
    }
    for (name, times) in [("direct", &mut direct_times), ("through a relay", &mut relayed_times)] {
        times.sort_by(f64::total_cmp);
        let at = |share: f64| times[(times.len() as f64 * share) as usize];
        println!("{name}: {:.0} us at the median, {:.0} us at the 99th of {ROUND_TRIPS}", at(0.5), at(0.99));
    }
    Ok(())
}

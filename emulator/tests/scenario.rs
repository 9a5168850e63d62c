//! An error in a scenario file is reported in one line with its position. Truncated results can still be read.

mod helper;
use fennelscale_lab::experiment::{Estimate, Plan, compare, run_into};
use fennelscale_lab::results::{Head, Results, Writer};
use fennelscale_lab::scenario::{BUILT_IN, Scenario};
use helper::*;
use std::path::{Path, PathBuf};

fn error(text: &str) -> String {
    let error =
        Scenario::parse("day.toml", text, Path::new("")).expect_err("the scenario is invalid").to_string();
    assert_eq!(error.lines().count(), 1, "{error}");
    error
}

/// A file that is removed when the test ends.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str) -> Self {
        Self(std::env::temp_dir().join(format!("fennelscale-lab-{}-{name}", std::process::id())))
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn errors_name_the_position() {
    for (text, place, what) in [
        (format!("{SMALL}gate = 3\n"), "day.toml:7:1", "unknown field `gate`"),
        (SMALL.replace("[8, 10]", "[10, 8]"), "day.toml:3:12", "upside down"),
        (SMALL.replace("[8, 10]", "0"), "day.toml:3:12", "1 to 10,000"),
        (SMALL.replace("gateways = 3", "gateways = 0"), "day.toml:2:12", "1 to 10,000"),
        (SMALL.replace("length_s = 8", "length_s = inf"), "day.toml:4:12", "finite"),
        (SMALL.replace("length_s = 8", "length_s = \"long\""), "day.toml:4:12", "range"),
        (format!("{SMALL}[[trouble]]\nkind = \"flood\"\nfor_s = 1\n"), "day.toml:8:8", "unknown variant"),
        (
            format!("{SMALL}[[trouble]]\nkind = \"silent\"\nfor_s = 1\npart = 1.5\n"),
            "day.toml:10:8",
            "at most 1",
        ),
        (format!("{SMALL}[[trouble]]\nkind = \"silent\"\n"), "day.toml:7:1", "for_s"),
        ("name = ".into(), "day.toml:1:", ""),
    ] {
        let error = error(&text);
        assert!(error.starts_with(place) && error.contains(what), "{error}, not {place} {what}");
    }
}

#[test]
fn missing_and_oversized_files_are_reported() {
    let missing = Scenario::load("no/such.toml").expect_err("missing").to_string();
    assert!(missing.starts_with("no/such.toml: "), "{missing}");
    let unknown = Scenario::load("kalm").expect_err("unknown").to_string();
    assert!(unknown.contains("built-in scenarios are calm, roll"), "{unknown}");
    let long = TemporaryFile::new("long.toml");
    let file = std::fs::File::create(&long.0).expect("a file");
    // The file is sparse and takes no disk space.
    file.set_len(100 << 20).expect("a long file");
    let error = Scenario::load(&long.0.display().to_string()).expect_err("too long").to_string();
    assert!(error.contains("104857600 bytes are too many"), "{error}");
}

#[test]
fn built_in_scenarios_are_valid_and_described() {
    for (name, text) in BUILT_IN {
        let scenario = Scenario::load(name).expect(name);
        assert_eq!(scenario.name, name);
        let full_size = !name.starts_with("small") && name != "speed-30";
        assert_eq!(full_size, scenario.gateways.min >= 270.0, "{name}");
        assert!(text.starts_with("# "), "{name} has no description");
    }
}

fn plan(seeds: std::ops::RangeInclusive<u64>) -> Plan {
    Plan { scenarios: vec![small("")], seeds: seeds.collect(), score: false, baselines: false }
}

#[test]
fn truncated_results_keep_complete_days_and_count_missing_ones() {
    let whole = TemporaryFile::new("whole.json");
    run_into(&plan(1..=4), &whole.0, |_| {}).expect("the days are simulated");
    let results = Results::read(&whole.0).expect("read");
    assert_eq!((results.rows.len(), results.missing()), (4, 0));
    let seeds: Vec<u64> = results.rows.iter().map(|row| row.seed).collect();
    assert_eq!(seeds, [1, 2, 3, 4]);
    let bytes = std::fs::read(&whole.0).expect("bytes");
    let cut = TemporaryFile::new("cut.json");
    std::fs::write(&cut.0, &bytes[..bytes.len() - 100]).expect("written");
    let left = Results::read(&cut.0).expect("the truncated file can be read");
    assert_eq!((left.rows.len(), left.missing()), (3, 1));
    assert_eq!(left.rows[..], results.rows[..3]);
    // Damage in the middle of a file is an error, not a truncation.
    let text = String::from_utf8(bytes).expect("text").replacen("\"seed\":2", "\"seed\":x", 1);
    std::fs::write(&cut.0, text).expect("written");
    assert!(Results::read(&cut.0).expect_err("damaged").to_string().contains("line 3"));
}

#[test]
fn a_full_disk_is_reported() {
    let error = Writer::new(Path::new("/dev/full"), &Head::of(1)).expect_err("full");
    assert!(error.to_string().starts_with("/dev/full: "), "{error}");
}

#[test]
fn other_format_versions_are_rejected() {
    let file = TemporaryFile::new("later.json");
    let head = Head { format: "fennelscale-lab/9".into(), ..Head::of(0) };
    drop(Writer::new(&file.0, &head).expect("written"));
    assert!(Results::read(&file.0).expect_err("later").to_string().contains("fennelscale-lab/9"));
}

#[test]
fn a_comparison_pairs_days_and_names_the_largest_change() {
    let file = TemporaryFile::new("old.json");
    run_into(&plan(1..=3), &file.0, |_| {}).expect("the days are simulated");
    let old = Results::read(&file.0).expect("read");
    let mut new = old.clone();
    for (row, moved) in new.rows.iter_mut().zip([0.03, 0.01, -0.01]) {
        row.books.g += moved;
        row.books.uneven_plans -= moved;
    }
    new.rows.push(new.rows[0].clone());
    new.rows[3].seed = 77;
    let (moved, unpaired) = compare(&old, &new);
    assert_eq!((moved.len(), unpaired), (1, 1));
    let moved = &moved[0];
    assert!((moved.g.mean - 0.01).abs() < 1e-12 && moved.g.count == 3);
    // The standard deviation is 0.02; the t value for two degrees of freedom is 4.303.
    assert!((moved.g.half_width.expect("three days") - 4.303 * 0.02 / 3f64.sqrt()).abs() < 1e-6);
    assert_eq!(moved.worst.0, 3);
    assert_eq!(moved.causes[0].0, "worst plan");
    assert!((moved.causes[0].1.mean + 0.01).abs() < 1e-12);
    assert_eq!(Estimate::of(&[1.0]).half_width, None);
}

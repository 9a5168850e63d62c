//! Passes the commit and a digest of the library's sources to the program, which writes both into its results.

use sha2::{Digest as _, Sha256};
use std::path::{Path, PathBuf};
use std::process::Command;

fn git(args: &[&str]) -> Option<String> {
    let out = Command::new("git").args(args).output().ok().filter(|out| out.status.success())?;
    Some(String::from_utf8_lossy(&out.stdout).trim().to_string())
}

fn collect_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for path in std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path()) {
        if path.is_dir() { collect_files(&path, files) } else { files.push(path) }
    }
}

fn main() {
    let decisions = Path::new("../src");
    println!("cargo::rerun-if-changed=../src");
    if let Some(head) = git(&["rev-parse", "--git-path", "logs/HEAD"]) {
        println!("cargo::rerun-if-changed={head}");
    }
    let mut files = Vec::new();
    collect_files(decisions, &mut files);
    files.sort();
    let mut sum = Sha256::new();
    for file in files {
        sum.update(std::fs::read(file).unwrap_or_default());
    }
    let digest: String = sum.finalize()[..8].iter().map(|byte| format!("{byte:02x}")).collect();
    let commit = git(&["rev-parse", "--short=12", "HEAD"]).unwrap_or_else(|| "unknown".into());
    let changed = git(&["status", "--porcelain", "--", "../src"]).is_some_and(|text| !text.is_empty());
    let suffix = if changed { "+changes" } else { "" };
    println!("cargo::rustc-env=LAB_COMMIT={commit}{suffix}");
    println!("cargo::rustc-env=LAB_DECISIONS={digest}");
}

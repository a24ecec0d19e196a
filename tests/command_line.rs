//! Output and exit codes of the command line.

use insta::assert_snapshot;
use std::{
    fmt::Write,
    path::{Path, PathBuf},
    process::Command,
};

const PROFILE: &str = "name = \"p\"\ndefault_class = \"a\"\nclasses = { a = 0 }\n";

/// Runs the binary and returns its exit code and streams as text, without the directory of the
/// input files.
fn run(arguments: &[&str], directory: &Path) -> String {
    let output = match Command::new(env!("CARGO_BIN_EXE_skylarkstream"))
        .args(arguments)
        .output()
    {
        Ok(output) => output,
        Err(error) => return error.to_string(),
    };
    let code = output.status.code().unwrap_or(-1);
    let (out, err) = (output.stdout, output.stderr);
    let streams = [("out", out), ("err", err)].map(|(name, bytes)| {
        let text =
            String::from_utf8_lossy(&bytes).replace(&format!("{}/", directory.display()), "");
        text.lines()
            .map(|line| format!("{name}: {line}\n"))
            .collect::<String>()
    });
    format!("exit {code}\n{}", streams.concat())
}

/// Writes an input file and returns its path.
fn input_file(directory: &Path, name: &str, text: &[u8]) -> String {
    let path = directory.join(name);
    std::fs::write(&path, text)
        .map_or_else(|error| error.to_string(), |()| path.display().to_string())
}

/// Guards against a `check` that accepts files that a daemon rejects, prints errors to standard
/// output or changes its exit codes.
#[test]
fn check_reports_file_line_and_key() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let good = input_file(&directory, "good.toml", PROFILE.as_bytes());
    let unknown = format!("{PROFILE}[retry]\nallowance = 2\nallowence = 2\n");
    let unknown = input_file(&directory, "unknown.toml", unknown.as_bytes());
    let class = input_file(
        &directory,
        "class.toml",
        PROFILE.replace("\"a\"", "\"b\"").as_bytes(),
    );
    let bytes = input_file(&directory, "bytes.toml", b"name = \"\xff\"\n");
    let large = format!("{PROFILE}#{}", "x".repeat(1 << 20));
    let large = input_file(&directory, "large.toml", large.as_bytes());
    let settings = input_file(&directory, "settings.toml", b"cluster = 3\n");
    let config = |keys: &str| {
        format!(
            r#"{{"version":"r3","routes":[],"tenants":[{{"name":"a","api-keys":["k-1"]}},
            {{"name":"b","api-keys":[{keys}]}}]}}"#
        )
    };
    let valid = input_file(&directory, "valid.json", config("").as_bytes());
    let shared = input_file(&directory, "shared.json", config("\"k-1\"").as_bytes());
    let absent = directory.join("absent.toml").display().to_string();
    let mut report = String::new();
    for arguments in [
        &["check", "--profile", &good][..],
        &["check", "--profile", &good, "--canonical"],
        &["check", "--profile", &unknown],
        &["check", "--profile", &class],
        &["check", "--profile", &bytes],
        &["check", "--profile", &large],
        &["check", "--profile", &absent],
        &["check", "--settings", &settings],
        &["check", "--settings", &absent],
        &["check", "--config", &valid],
        &["check", "--config", &shared],
        &["check"],
        &["status", "--admin", "nowhere"],
    ] {
        let command = arguments
            .join(" ")
            .replace(&format!("{}/", directory.display()), "");
        writeln!(report, "$ {command}\n{}", run(arguments, &directory)).unwrap();
    }
    assert_snapshot!(report);
}

/// Guards against help or shell completion that fails.
#[test]
fn help_and_completion_succeed() {
    let directory = Path::new("/");
    assert_snapshot!(run(&["--help"], directory));
    for style in ["bash", "zsh", "fish"] {
        let completion = run(&[&format!("--bpaf-complete-style-{style}")], directory);
        assert!(
            completion.starts_with("exit 0\nout: "),
            "{style}: {completion}"
        );
    }
}

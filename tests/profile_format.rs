//! Decoding, validation and canonical form of profiles.

mod fixed_seeds;

use insta::assert_snapshot;
use skylarkstream::decision::profile::{
    profile_error::{MAX_PROFILE_BYTES, ProfileError},
    service_profile::ServiceProfile,
};
use std::fmt::Write;

const MINIMAL: &str = "name = \"p\"\ndefault_class = \"a\"\nclasses = { a = 0 }\n";

const FULL: &str = r#"
name = "dispatch"
default_class = "documents"
unmatched_deadline_ms = 700
classes = { documents = 5, assignment = 0, roster = 3 }
[shedding]
within_class = "retries-first"
[admission]
max_concurrency = 80
initial_concurrency = 60
[retry]
allowance = 2
[ticket]
lifetime_s = 30
[upstream]
ramp_time_ms = 5000
[[routes]]
method = "POST"
path = "/assignments"
class = "assignment"
ticket = "required"
[[routes]]
path = "/assignments"
class = "assignment"
idempotent = true
deadline_ms = 900
[[refusals]]
status = 503
header = "x-shed"
value = "1"
"#;

/// Texts that are inserted into a profile: digits, letters, separators, escapes and characters that
/// a string cannot contain unescaped.
const PATCHES: [&str; 12] = [
    "0", "9", "a", "-", ".", "\"", "\\\"", "\\\\", "\\u00e9", "\n", "\0", "#",
];

fn error_message(text: &str) -> String {
    match text.parse::<ServiceProfile>() {
        Ok(_) => "accepted".to_owned(),
        Err(error) => error.to_string(),
    }
}

/// Guards against an unnoticed change of the canonical form, which would change the digests of all
/// published profiles, and against defaults that allow a request to run twice.
#[test]
fn canonical_form_and_digest_are_exact() {
    let profile: ServiceProfile = FULL.parse().unwrap();
    assert_snapshot!(format!(
        "{}\nsha256 {}",
        profile.canonical(),
        profile.digest()
    ));
    let minimal: ServiceProfile = MINIMAL.parse().unwrap();
    assert_snapshot!(minimal.canonical());
}

/// Guards against error messages without the line and the key.
#[test]
fn errors_name_line_and_key() {
    let inputs = include_str!("inputs/refused_profiles.txt");
    let mut report = String::new();
    for input in inputs.split("=== ").skip(1) {
        let (case, text) = input.split_once('\n').unwrap();
        writeln!(report, "{case}: {}", error_message(text)).unwrap();
    }
    assert_snapshot!(report);
}

/// Guards against accepting profiles that are too large for a value on the platform, and against
/// replacing invalid bytes instead of refusing them.
#[test]
fn oversized_and_undecodable_profiles_are_refused() {
    let large = format!("{MINIMAL}#{}", "x".repeat(MAX_PROFILE_BYTES));
    assert_eq!(
        ServiceProfile::from_bytes(large.as_bytes()),
        Err(ProfileError::TooLarge(large.len()))
    );
    assert_eq!(
        ServiceProfile::from_bytes(b"name = \"p\"\n# \xff\n"),
        Err(ProfileError::Encoding { line: 2 })
    );
}

/// Guards against a profile whose nesting exhausts the stack of every daemon that reads it.
#[test]
fn deep_nesting_is_refused() {
    const DEPTH: usize = 200_000;
    let dotted = format!("{}a = 1", "a.".repeat(DEPTH));
    let header = format!("[{}a]", "a.".repeat(DEPTH));
    let array = format!("x = {}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let inline = format!("x = {}1{}", "{a=".repeat(DEPTH), "}".repeat(DEPTH));
    for text in [dotted, header, array, inline] {
        let result = format!("{MINIMAL}{text}\n").parse::<ServiceProfile>();
        assert!(matches!(result, Err(ProfileError::Syntax { .. })));
    }
}

/// Guards against a message that contains a malicious key at full length or with line breaks.
#[test]
fn messages_are_bounded_and_on_one_line() {
    let text = format!("{MINIMAL}\"{}\\n\" = 1\n", "k".repeat(100_000));
    let message = error_message(&text);
    assert!(message.len() < 1_000, "{} bytes", message.len());
    assert!(!message.contains('\n'));
}

/// Guards against a refusal rule that matches a response by its status alone.
#[test]
fn refusal_needs_status_and_header() {
    let profile: ServiceProfile = FULL.parse().unwrap();
    let refusal = &profile.refusals[0];
    let response_header =
        |value: &'static [u8]| move |name: &str| (name == "x-shed").then_some(value);
    assert!(refusal.matches(503, response_header(b"1")));
    assert!(!refusal.matches(503, response_header(b"0")));
    assert!(!refusal.matches(500, response_header(b"1")));
    assert!(!refusal.matches(503, |_| None));
}

/// Guards against a decoder that panics, a result that differs between two runs, and a canonical
/// form that changes when it is decoded and written again. Inputs are lines of valid profiles in
/// random order with random changes.
#[test]
fn any_accepted_text_has_a_stable_canonical_form() {
    let mut accepted = 0;
    fixed_seeds::check(|u| {
        let lines: Vec<&str> = FULL.lines().collect();
        let mut bytes = if u.ratio(1, 2)? {
            FULL.as_bytes().to_vec()
        } else {
            let mut text = MINIMAL.to_owned();
            for _ in 0..u.int_in_range(0..=12)? {
                text.push_str(u.choose(&lines)?);
                text.push('\n');
            }
            text.into_bytes()
        };
        for _ in 0..u.int_in_range(0..=3)? {
            let patch = u.choose(&PATCHES)?.bytes();
            let quotes: Vec<_> = (0..bytes.len()).filter(|at| bytes[*at] == b'"').collect();
            if u.ratio(1, 2)? {
                // A patch before a quotation mark is at the end of a string or outside of one.
                let index = *u.choose(&quotes)?;
                bytes.splice(index..index, patch);
            } else {
                let index = u.choose_index(bytes.len())?;
                bytes.splice(index..=index, patch);
            }
        }
        let result = ServiceProfile::from_bytes(&bytes);
        assert_eq!(result, ServiceProfile::from_bytes(&bytes));
        if let Ok(profile) = result {
            accepted += 1;
            let canonical = profile.canonical();
            let again: ServiceProfile = canonical.parse().unwrap();
            assert_eq!(again, profile);
            assert_eq!(again.canonical(), canonical);
            assert_eq!(again.digest(), profile.digest());
        }
        Ok(())
    });
    // Only accepted inputs test the canonical form.
    assert!(accepted >= 50, "{accepted} accepted");
}

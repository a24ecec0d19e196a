//! Entry point of the `skylarkstream` binary.

fn main() -> std::process::ExitCode {
    skylarkstream::run()
}

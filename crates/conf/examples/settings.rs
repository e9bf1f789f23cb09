//! Prints the content of `docs/SETTINGS.md`.

fn main() {
    print!("{}", conf::markdown());
}

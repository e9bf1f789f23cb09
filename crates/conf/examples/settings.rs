//! Prints the page `docs/SETTINGS.md`.

fn main() {
    print!("{}", conf::markdown());
}

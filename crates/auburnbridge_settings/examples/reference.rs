//! Prints the settings reference, the content of `docs/settings.md`.

fn main() {
    print!("{}", auburnbridge_settings::reference());
}

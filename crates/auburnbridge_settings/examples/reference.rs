//! Prints the reference of the settings, which `docs/settings.md` holds.

fn main() {
    print!("{}", auburnbridge_settings::reference());
}

//! The files in `examples/` are valid.

#![allow(clippy::unwrap_used)]

use std::{fs, path::Path};

use guavacart_config::{Configuration, Patch, Settings};
use guavacart_types::ConfigNumber;

/// Maximum number of racks in a cell of at most 64 workers, with eight workers in each rack.
const MAX_RACKS: usize = 8;

fn example(name: &str) -> String {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(dir.join(name)).unwrap()
}

fn configuration(name: &str) -> Configuration {
    let patch = Patch {
        id: "example".parse().unwrap(),
        base: ConfigNumber(0),
        change: serde_json::from_str(&example(name)).unwrap(),
    };
    patch.apply(&Configuration::default()).unwrap()
}

macro_rules! examples {
    ($($name:ident: $file:literal, $service:literal, $racks:literal;)*) => {$(
        #[test]
        fn $name() {
            let cfg = configuration($file);
            let service = &cfg.services[&$service.parse().unwrap()];
            assert_eq!((service.slots, service.connections), (8, 60));
            let racks: usize = cfg.cells.values().map(|cell| cell.racks.len()).sum();
            assert_eq!(racks, $racks);
            assert!(cfg.cells.values().all(|cell| cell.racks.len() <= MAX_RACKS));
        }
    )*};
}

examples! {
    pamoja: "pamoja.json", "engine", 9;
    cymru: "cymru.json", "lookup", 7;
}

#[test]
fn all_agencies_have_the_same_weight() {
    let teams = configuration("pamoja.json").teams;
    assert_eq!(teams.len(), 4);
    assert!(teams.values().all(|team| team.weight == 1));
}

#[test]
fn example_settings_are_valid() {
    let secret = |name: &str| Some(format!("secret-of-{name}"));
    let settings = Settings::read(&example("settings.toml"), &secret).unwrap();
    assert_eq!(settings.access.teams.len(), 4);
}

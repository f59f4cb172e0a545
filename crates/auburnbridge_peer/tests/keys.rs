//! Tests of creating and loading key files.

mod fleet;

use std::fs;
use std::os::unix::fs::PermissionsExt;

use auburnbridge_peer::keys::{
    AUTHORITY_KEY_FILE, CERTIFICATE_FILE, KEY_FILE, KeyRing, Keys, Validity, create_authority,
    issue,
};
use auburnbridge_types::{Clock, Timestamp};
use fleet::{DAY, Fleet, identity};

/// Guards against private keys that other users of the VM can read.
#[test]
fn private_keys_are_readable_by_their_owner_only() {
    let fleet = Fleet::new();
    fleet.issue("authority", "a", fleet.valid());
    fleet.issue("authority", "a", fleet.valid());
    for path in [
        fleet.path("authority").join(AUTHORITY_KEY_FILE),
        fleet.path("a").join(KEY_FILE),
    ] {
        let mode = fs::metadata(&path).unwrap().permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{}", path.display());
    }
}

/// Guards against errors that don't name the file or state a wrong cause.
#[test]
fn errors_name_the_file_and_the_cause() {
    let fleet = Fleet::new();
    fleet.add_authority("other");
    let now = fleet.clock.now();
    let period = |from: u64, until: u64| Validity {
        from: Timestamp(from),
        until: Timestamp(until),
    };
    fleet.issue("authority", "good", fleet.valid());
    fleet.issue("authority", "old", period(now.0 - 2 * DAY.0, now.0 - DAY.0));
    fleet.issue(
        "authority",
        "early",
        period(now.0 + DAY.0, now.0 + 2 * DAY.0),
    );
    fleet.issue("other", "strange", fleet.valid());
    let copy = |from: &str, file: &str, to: &str| {
        fs::create_dir_all(fleet.path(to)).unwrap();
        fs::copy(fleet.path(from).join(file), fleet.path(to).join(file)).unwrap();
    };
    for (folder, replaced, source) in [
        ("mixed-key", KEY_FILE, "old"),
        ("mixed-authority", "authority.pem", "strange"),
        ("text", "", ""),
        ("no-key", "", ""),
        ("not-a-leaf", "", ""),
    ] {
        for file in ["authority.pem", CERTIFICATE_FILE, KEY_FILE] {
            copy(if file == replaced { source } else { "good" }, file, folder);
        }
    }
    fs::write(fleet.path("text").join(CERTIFICATE_FILE), "hello").unwrap();
    fs::remove_file(fleet.path("no-key").join(KEY_FILE)).unwrap();
    copy("good", "authority.pem", "not-a-leaf");
    fs::copy(
        fleet.path("good").join("authority.pem"),
        fleet.path("not-a-leaf").join(CERTIFICATE_FILE),
    )
    .unwrap();

    let cases = [
        ("old", "certificate.pem: the certificate expired at "),
        ("early", "certificate.pem: the certificate is valid from "),
        ("mixed-key", "key.pem: does not belong to "),
        (
            "mixed-authority",
            "certificate.pem: not signed by an authority in ",
        ),
        ("text", "certificate.pem: holds no certificate in PEM"),
        ("no-key", "key.pem: can't be read: "),
        (
            "not-a-leaf",
            "certificate.pem: the certificate has no `auburnbridge:vm:` name",
        ),
        ("missing", "authority.pem: can't be read: "),
    ];
    for (folder, expected) in cases {
        let error = Keys::load(&fleet.path(folder), now)
            .unwrap_err()
            .to_string();
        let expected = format!("{}/{expected}", fleet.path(folder).display());
        assert!(error.starts_with(&expected), "{folder}: {error}");
    }
    assert!(Keys::load(&fleet.path("good"), now).is_ok());
}

/// Guards against overwriting an authority, and against issuing certificates that no process
/// accepts because the authority's key doesn't match its certificate.
#[test]
fn authority_is_not_overwritten_and_is_checked() {
    let fleet = Fleet::new();
    fleet.add_authority("other");
    let error = create_authority(&fleet.path("authority"), fleet.valid()).unwrap_err();
    assert!(error.to_string().contains("already there"), "{error}");

    let key = |name: &str| fleet.path(name).join(AUTHORITY_KEY_FILE);
    fs::copy(key("other"), key("authority")).unwrap();
    let folder = fleet.path("a");
    let error = issue(
        &fleet.path("authority"),
        &folder,
        &identity("a"),
        fleet.valid(),
    )
    .unwrap_err();
    assert!(
        error
            .to_string()
            .contains("authority-key.pem: does not belong to"),
        "{error}"
    );
    assert!(!folder.exists());
}

/// Guards against a failed reload that leaves the process without keys or changes its identity.
#[test]
fn failed_reload_keeps_the_keys() {
    let fleet = Fleet::new();
    let keys = fleet.keys("authority", "a");
    let before = keys.current();
    fleet.issue("authority", "b", fleet.valid());
    for file in [CERTIFICATE_FILE, KEY_FILE] {
        fs::copy(fleet.path("b").join(file), fleet.path("a").join(file)).unwrap();
        assert!(keys.reload(fleet.clock.now()).is_err());
        assert!(std::sync::Arc::ptr_eq(&before, &keys.current()));
    }
    assert!(KeyRing::load(&fleet.path("a"), fleet.clock.now()).is_ok());
}

/// Guards against a reload that closes connections although nothing changed, or that misses a
/// change of one file.
#[test]
fn reload_reports_changes_only() {
    let fleet = Fleet::new();
    let keys = fleet.keys("authority", "a");
    let now = fleet.clock.now();
    let before = keys.current();
    assert!(!keys.reload(now).unwrap());
    assert!(std::sync::Arc::ptr_eq(&before, &keys.current()));
    fleet.issue("authority", "a", fleet.valid());
    assert!(keys.reload(now).unwrap());
    fleet.add_authority("new");
    let both: String = ["authority", "new"]
        .map(|name| fs::read_to_string(fleet.path(name).join("authority.pem")).unwrap())
        .concat();
    fs::write(fleet.path("a").join("authority.pem"), both).unwrap();
    assert!(keys.reload(now).unwrap());
}

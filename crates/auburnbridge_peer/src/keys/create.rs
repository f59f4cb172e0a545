//! Creates a certificate authority and the key files of a process.

use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::time::{Duration, UNIX_EPOCH};

use auburnbridge_types::{Millis, Timestamp};
use rcgen::{
    BasicConstraints, CertificateParams, DistinguishedName, DnType, ExtendedKeyUsagePurpose, IsCa,
    KeyPair, KeyUsagePurpose, SanType,
};

use crate::PeerIdentity;
use crate::keys::{
    AUTHORITY_FILE, AUTHORITY_KEY_FILE, CERTIFICATE_FILE, FLEET_NAME, KEY_FILE, KeyError, Keys,
};

/// Subject of every authority certificate. It is constant because the issuer is rebuilt from its
/// key and this name.
const AUTHORITY_NAME: &str = "auburnbridge authority";

/// Tolerated lag of a VM's clock behind the issuer's clock: 5 minutes.
const CLOCK_SKEW: Millis = Millis(5 * 60 * 1_000);

/// Validity period of a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// Start of the period.
    pub from: Timestamp,
    /// End of the period.
    pub until: Timestamp,
}

impl Validity {
    /// Creates a period that ends `duration` after `now` and starts before `now`, for VMs whose
    /// clocks lag.
    pub fn starting_at(now: Timestamp, duration: Millis) -> Self {
        Self {
            from: Timestamp(now.0.saturating_sub(CLOCK_SKEW.0)),
            until: now.after(duration),
        }
    }

    fn apply(self, params: &mut CertificateParams) {
        params.not_before = (UNIX_EPOCH + Duration::from_millis(self.from.0)).into();
        params.not_after = (UNIX_EPOCH + Duration::from_millis(self.until.0)).into();
    }
}

/// Creates an authority in `folder`. Fails if the folder already has one or can't be written.
pub fn create_authority(folder: &Path, validity: Validity) -> Result<(), KeyError> {
    let key_path = folder.join(AUTHORITY_KEY_FILE);
    if key_path.exists() {
        return Err(KeyError::AuthorityExists(key_path));
    }
    fs::create_dir_all(folder).map_err(KeyError::write(folder))?;
    let key = generate_key(&key_path)?;
    let mut params = authority_params();
    validity.apply(&mut params);
    let certificate = params
        .self_signed(&key)
        .map_err(|error| KeyError::Invalid(key_path.clone(), error.to_string()))?;
    replace_file(&key_path, &key.serialize_pem(), PRIVATE_MODE)?;
    replace_file(
        &folder.join(AUTHORITY_FILE),
        &certificate.pem(),
        PUBLIC_MODE,
    )
}

/// Issues a key and a certificate for `identity`, signed by the authority in `authority_folder`,
/// and writes them to `folder` together with the authority's certificates.
///
/// Existing files are replaced one after the other, each atomically. A process that loads the
/// folder in between finds a key that does not belong to the certificate and keeps its loaded keys.
pub fn issue(
    authority_folder: &Path,
    folder: &Path,
    identity: &PeerIdentity,
    validity: Validity,
) -> Result<(), KeyError> {
    let authority_path = authority_folder.join(AUTHORITY_FILE);
    let authority_key_path = authority_folder.join(AUTHORITY_KEY_FILE);
    let authority_pem =
        fs::read_to_string(&authority_path).map_err(KeyError::read(&authority_path))?;
    let authority_key = read_authority_key(&authority_key_path)?;
    let invalid =
        |error: rcgen::Error| KeyError::Invalid(authority_key_path.clone(), error.to_string());
    let issuer = authority_params()
        .self_signed(&authority_key)
        .map_err(invalid)?;

    let certificate_path = folder.join(CERTIFICATE_FILE);
    let key = generate_key(&folder.join(KEY_FILE))?;
    let certificate = leaf_params(identity, validity)
        .and_then(|params| params.signed_by(&key, &issuer, &authority_key))
        .map_err(|error| KeyError::Invalid(certificate_path.clone(), error.to_string()))?;
    let key_pem = key.serialize_pem();
    let certificate_pem = certificate.pem();
    // Fails if the authority's key does not belong to its certificate.
    Keys::from_pem(
        folder,
        authority_pem.as_bytes(),
        certificate_pem.as_bytes(),
        key_pem.as_bytes(),
        validity.from,
    )
    .map_err(|error| match error {
        KeyError::WrongAuthority(..) => {
            KeyError::Mismatched(authority_key_path.clone(), authority_path.clone())
        }
        other => other,
    })?;

    fs::create_dir_all(folder).map_err(KeyError::write(folder))?;
    replace_file(&folder.join(KEY_FILE), &key_pem, PRIVATE_MODE)?;
    replace_file(&certificate_path, &certificate_pem, PUBLIC_MODE)?;
    replace_file(&folder.join(AUTHORITY_FILE), &authority_pem, PUBLIC_MODE)
}

const PRIVATE_MODE: u32 = 0o600;
const PUBLIC_MODE: u32 = 0o644;

fn generate_key(path: &Path) -> Result<KeyPair, KeyError> {
    KeyPair::generate().map_err(|error| KeyError::Invalid(path.to_owned(), error.to_string()))
}

fn read_authority_key(path: &Path) -> Result<KeyPair, KeyError> {
    let pem = fs::read_to_string(path).map_err(KeyError::read(path))?;
    KeyPair::from_pem(&pem).map_err(|_| KeyError::NoPem(path.to_owned(), "private key"))
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name = common_name(AUTHORITY_NAME);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
}

fn leaf_params(
    identity: &PeerIdentity,
    validity: Validity,
) -> Result<CertificateParams, rcgen::Error> {
    let mut params = CertificateParams::new(vec![FLEET_NAME.to_owned()])?;
    for name in identity.uri_names() {
        params
            .subject_alt_names
            .push(SanType::URI(name.try_into()?));
    }
    params.distinguished_name = common_name(identity.vm.as_str());
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    validity.apply(&mut params);
    Ok(params)
}

fn common_name(name: &str) -> DistinguishedName {
    let mut distinguished_name = DistinguishedName::new();
    distinguished_name.push(DnType::CommonName, name);
    distinguished_name
}

/// Replaces `path` atomically: creates a temporary file with `mode` and renames it. The file has
/// `mode` from the start, so a private key is never readable by others.
fn replace_file(path: &Path, content: &str, mode: u32) -> Result<(), KeyError> {
    let temporary = path.with_extension("pem.new");
    match fs::remove_file(&temporary) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
            return Err(KeyError::Write(temporary, error));
        }
        Ok(()) | Err(_) => {}
    }
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(&temporary)
        .map_err(KeyError::write(&temporary))?;
    file.write_all(content.as_bytes())
        .and_then(|()| file.sync_all())
        .map_err(KeyError::write(&temporary))?;
    fs::rename(&temporary, path).map_err(KeyError::write(path))
}

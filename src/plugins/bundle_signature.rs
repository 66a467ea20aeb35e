//! Ed25519 signatures of bundles.

pub use ed25519_dalek::SigningKey;
use ed25519_dalek::{Signature, Signer, Verifier, VerifyingKey};
use sha2::{Digest, Sha256};

use crate::kernel::{BundleRecord, BundleVerifier, PluginRegistry};
use crate::plugins::bundle_toml::{self, BundleContext};
use crate::prelude::*;

/// Returns the hexadecimal SHA-256 digest of a team key, as the bundle holds it.
#[must_use]
pub fn key_digest(key: &str) -> String {
    hex::encode(Sha256::digest(key.as_bytes()))
}

/// Signs a record and adds public key and signature to it.
pub fn sign(record: &mut BundleRecord, key: &SigningKey) {
    let signature = key.sign(&message(record));
    let public = hex::encode(key.verifying_key().to_bytes());
    record.signatures.push((public, hex::encode(signature.to_bytes())));
}

/// Counts the distinct `signers` with a valid signature.
#[must_use]
pub fn approvals(record: &BundleRecord, signers: &[String]) -> usize {
    let message = message(record);
    let valid: FastSet<&str> = record
        .signatures
        .iter()
        .filter(|(public, signature)| {
            signers.contains(public) && verify(&message, public, signature).is_some()
        })
        .map(|(public, _)| public.as_str())
        .collect();
    valid.len()
}

/// Returns the codec for bundles in TOML with ed25519 signatures.
#[must_use]
pub fn codec(registry: PluginRegistry, signers: Vec<String>, required: usize) -> BundleVerifier {
    let count = signers.len();
    BundleVerifier {
        parse: Arc::new(move |text| {
            let context =
                BundleContext { registry: &registry, known_zones: None, default_signers: Some(count) };
            bundle_toml::parse(text, &context)
        }),
        count_signatures: Arc::new(approvals),
        signers,
        required,
    }
}

fn message(record: &BundleRecord) -> Vec<u8> {
    format!("godwithaven bundle {} on {}\n{}", record.version, record.base, record.text).into_bytes()
}

fn verify(message: &[u8], public: &str, signature: &str) -> Option<()> {
    let public: [u8; 32] = hex::decode(public).ok()?.try_into().ok()?;
    let signature: [u8; 64] = hex::decode(signature).ok()?.try_into().ok()?;
    let key = VerifyingKey::from_bytes(&public).ok()?;
    key.verify(message, &Signature::from_bytes(&signature)).ok()
}

//! Operators' ed25519 keys and signatures, as base64 text.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use eyre::{Result, WrapErr, eyre};

/// Decodes a signing key from its base64 text.
///
/// # Errors
///
/// Fails when the text is not 32 bytes in base64.
pub fn decode_signing_key(text: &str) -> Result<SigningKey> {
    let bytes = STANDARD.decode(text.trim()).wrap_err("signing key is not base64")?;
    let bytes: [u8; 32] =
        bytes.try_into().map_err(|_| eyre!("signing key is not 32 bytes long"))?;
    Ok(SigningKey::from_bytes(&bytes))
}

/// Decodes a public key from its base64 text.
///
/// # Errors
///
/// Fails when the text is not an ed25519 public key in base64.
pub fn decode_public_key(text: &str) -> Result<VerifyingKey> {
    let bytes = STANDARD.decode(text.trim()).wrap_err("public key is not base64")?;
    let bytes: [u8; 32] = bytes.try_into().map_err(|_| eyre!("public key is not 32 bytes long"))?;
    VerifyingKey::from_bytes(&bytes).wrap_err("public key is not a valid ed25519 key")
}

/// Encodes the public key of a signing key in base64.
pub fn encode_public_key(key: &SigningKey) -> String {
    STANDARD.encode(key.verifying_key().to_bytes())
}

/// Encodes a signing key in base64.
pub fn encode_signing_key(key: &SigningKey) -> String {
    STANDARD.encode(key.to_bytes())
}

/// Signs a message; returns the signature in base64.
pub fn sign_message(key: &SigningKey, message: &[u8]) -> String {
    STANDARD.encode(key.sign(message).to_bytes())
}

/// Returns whether `signature` over `message` was made with the key of `public_key`.
pub fn is_signature_valid(public_key: &str, message: &[u8], signature: &str) -> bool {
    let Ok(key) = decode_public_key(public_key) else {
        return false;
    };
    let Ok(bytes) = STANDARD.decode(signature) else {
        return false;
    };
    let Ok(signature) = Signature::from_slice(&bytes) else {
        return false;
    };
    key.verify(message, &signature).is_ok()
}

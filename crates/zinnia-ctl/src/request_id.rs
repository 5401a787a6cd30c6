//! Generates request ids, by which the cell recognises a repeated request.

use crate::Failure;

/// Generates a random request id of 32 hexadecimal digits.
///
/// # Errors
///
/// Returns [`Failure::Local`] when the operating system provides no random numbers.
pub(crate) fn generate() -> Result<String, Failure> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes)
        .map_err(|e| Failure::Local(format!("cannot generate a request id: {e}")))?;
    Ok(format!("{:032x}", u128::from_be_bytes(bytes)))
}

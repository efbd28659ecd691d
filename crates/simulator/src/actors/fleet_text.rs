//! Text of the fleet files that operators apply.

/// The model of all items and requests.
pub(crate) const MODEL: &str = "granite";
/// The tenant of all jobs and requests.
pub(crate) const TENANT: &str = "acme";

/// Creates a valid fleet file that contains the note. A zone is evacuated if the length of the
/// note is even.
pub(crate) fn fleet_text(note: &str) -> String {
    let evacuated = note.len().is_multiple_of(2);
    format!(
        r#"# {note}
name = "simulated"

[[zone]]
name = "worcester"
region = "new-england"

[[zone]]
name = "portland"
region = "new-england"
evacuated = {evacuated}

[[model]]
name = "{MODEL}"
version = "1"
placement = [{{ zone = "worcester", replicas = 2 }}]

[[tenant]]
name = "{TENANT}"
key_sha256 = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"

[batch]
retention_hours = 2
lease_ms = 10000
"#
    )
}

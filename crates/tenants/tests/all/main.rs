//! Tests of the tenants crate.

mod directory;
mod keys;
mod validate;

use linnethitch_tenants::{KeyDigest, QuotaLimit, Tenant};

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    Tenant {
        name: name.to_owned(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        rank: None,
        quota: QuotaLimit::new(10.0, 5.0).expect("it is a limit"),
        homes: Vec::new(),
    }
}

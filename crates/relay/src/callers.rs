//! Whose a request is: by the key that it carries and the tenants in force here.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Response, header};
use linnethitch_errors::ErrorKind;
use linnethitch_registry::FleetView;
use linnethitch_tenants::{KeyDigest, Tenant, TenantDirectory, bearer_key};

use crate::{
    attempt::COME_BACK_AFTER,
    dialect::HeaderNames,
    response::{ResponseBody, error_response},
};

/// Of the time within which a key that was taken away must be refused everywhere, so much
/// is kept for what a gateway cannot know: a control member that knows what is in force
/// heard the leader within a second, and the leader its quorum within another.
const UNKNOWN_FOR: Duration = Duration::from_secs(2);

/// How strictly keys that were taken away are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyPolicy {
    /// Time after which no gateway may take a key that was taken away, in touch with
    /// control or not. `None` where one that is cut off goes on by what it knows.
    pub revocation_limit: Option<Duration>,
}

impl KeyPolicy {
    /// How old a gateway's knowledge of keys may be, in milliseconds.
    fn most_age_ms(&self) -> u64 {
        let kept = |within: Duration| within.saturating_sub(UNKNOWN_FOR).as_millis() as u64;
        self.revocation_limit.map_or(u64::MAX, kept)
    }
}

/// A tenant that showed a key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The tenant.
    pub tenant: Arc<Tenant>,
    key: KeyDigest,
}

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyRefusal {
    /// It carries no key.
    Missing,
    /// No tenant holds its key.
    Unknown,
    /// What is known here of keys is too old.
    TooOld,
}

impl KeyRefusal {
    /// The answer to a request that has not run.
    pub(crate) fn answer(self) -> Response<ResponseBody> {
        match self {
            KeyRefusal::Missing | KeyRefusal::Unknown => {
                error_response(ErrorKind::InvalidKey, None)
            }
            KeyRefusal::TooOld => error_response(ErrorKind::NotReady, Some(COME_BACK_AFTER)),
        }
    }

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            KeyRefusal::Missing => "no key",
            KeyRefusal::Unknown => "unknown key",
            KeyRefusal::TooOld => "keys not known to be in force",
        }
    }
}

/// What is known here of keys.
#[derive(Clone, Copy)]
pub(crate) struct KnownKeys<'a> {
    pub(crate) tenants: &'a TenantDirectory,
    /// How old that may be, in milliseconds.
    pub(crate) age_ms: u64,
    pub(crate) policy: KeyPolicy,
}

impl<'a> KnownKeys<'a> {
    pub(crate) fn of(fleet: &'a FleetView, age_ms: u64, policy: KeyPolicy) -> Self {
        KnownKeys {
            tenants: fleet.tenants(),
            age_ms,
            policy,
        }
    }

    /// Whose a request is; `None` where it needs no key and shows none that is known.
    pub(crate) fn caller(
        &self,
        headers: &HeaderMap,
        needs_key: bool,
    ) -> Result<Option<Caller>, KeyRefusal> {
        if !self.tenants.are_listed() {
            return Ok(None);
        }
        let shown = headers.get(header::AUTHORIZATION);
        let shown = shown.and_then(|value| value.to_str().ok());
        let found = match shown.and_then(bearer_key).map(KeyDigest::of) {
            None => Err(KeyRefusal::Missing),
            Some(_) if self.age_ms > self.policy.most_age_ms() => Err(KeyRefusal::TooOld),
            Some(key) => self.holder(key).ok_or(KeyRefusal::Unknown),
        };
        match found {
            Ok(caller) => Ok(Some(caller)),
            Err(_) if !needs_key => Ok(None),
            Err(refusal) => Err(refusal),
        }
    }

    fn holder(&self, key: KeyDigest) -> Option<Caller> {
        let tenant = Arc::clone(self.tenants.holder(&key)?);
        Some(Caller { tenant, key })
    }

    /// Whether a request of a caller may still be sent: its key may have been taken away
    /// while it waited, or while this process stood still.
    pub(crate) fn still_admit(&self, caller: &Caller) -> Result<(), KeyRefusal> {
        if !self.tenants.are_listed() {
            return Ok(());
        }
        if self.age_ms > self.policy.most_age_ms() {
            return Err(KeyRefusal::TooOld);
        }
        let holder = self.tenants.holder(&caller.key);
        match holder.is_some_and(|holder| holder.name == caller.tenant.name) {
            true => Ok(()),
            false => Err(KeyRefusal::Unknown),
        }
    }
}

/// Replaces what a caller says of itself by whose the request is. Keys are never passed on
/// where the configuration lists tenants.
pub(crate) fn name_tenant(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    are_listed: bool,
    tenant: Option<&str>,
) {
    if !are_listed && tenant.is_none() {
        return;
    }
    headers.remove(header::AUTHORIZATION);
    headers.remove(&names.tenant);
    if let Some(name) = tenant.and_then(|name| HeaderValue::from_bytes(name.as_bytes()).ok()) {
        headers.insert(names.tenant.clone(), name);
    }
}

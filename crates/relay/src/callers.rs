//! Identifies the caller of a request by its key and the tenants in force here.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Response, header};
use linnethitch_errors::ErrorKind;
use linnethitch_registry::FleetView;
use linnethitch_tenants::{KeyDigest, Tenant, TenantDirectory, bearer_key};

use crate::{
    attempt::DEFAULT_RETRY_AFTER,
    dialect::HeaderNames,
    response::{ResponseBody, error_response},
};

/// Age of control's confirmations that a gateway cannot observe: a control
/// member that knows the current state had contact with the leader within one second, and the
/// leader with its quorum within another.
pub(crate) const PROPAGATION_ALLOWANCE: Duration = Duration::from_secs(2);

/// How strictly revoked keys are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyPolicy {
    /// Time after which no gateway may accept a revoked key, whether or not it is connected to
    /// control. `None` if an isolated gateway continues with the keys it knows.
    pub revocation_limit: Option<Duration>,
}

impl KeyPolicy {
    /// Maximum age of a gateway's knowledge of keys, in milliseconds.
    fn max_age_ms(&self) -> u64 {
        let max_age =
            |within: Duration| within.saturating_sub(PROPAGATION_ALLOWANCE).as_millis() as u64;
        self.revocation_limit.map_or(u64::MAX, max_age)
    }
}

/// A tenant that was identified by a key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The tenant.
    pub tenant: Arc<Tenant>,
    key: KeyDigest,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KeyRefusal {
    /// The request carries no key.
    Missing,
    /// The key belongs to no tenant.
    Unknown,
    /// The keys known here are too old.
    TooOld,
}

impl KeyRefusal {
    /// The response to a request that has not run.
    pub(crate) fn answer(self) -> Response<ResponseBody> {
        match self {
            KeyRefusal::Missing | KeyRefusal::Unknown => {
                error_response(ErrorKind::InvalidKey, None)
            }
            KeyRefusal::TooOld => error_response(ErrorKind::NotReady, Some(DEFAULT_RETRY_AFTER)),
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

/// Keys known at this gateway.
#[derive(Clone, Copy)]
pub(crate) struct KnownKeys<'a> {
    pub(crate) tenants: &'a TenantDirectory,
    /// Age of this knowledge, in milliseconds.
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

    /// Identifies the caller; `None` if the request needs no key and has no known key.
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
            Some(_) if self.age_ms > self.policy.max_age_ms() => Err(KeyRefusal::TooOld),
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

    /// Whether a caller's request may still be sent: the key may have been revoked while the
    /// request waited or while this process was paused.
    pub(crate) fn verify_caller(&self, caller: &Caller) -> Result<(), KeyRefusal> {
        if !self.tenants.are_listed() {
            return Ok(());
        }
        if self.age_ms > self.policy.max_age_ms() {
            return Err(KeyRefusal::TooOld);
        }
        let holder = self.tenants.holder(&caller.key);
        match holder.is_some_and(|holder| holder.name == caller.tenant.name) {
            true => Ok(()),
            false => Err(KeyRefusal::Unknown),
        }
    }
}

/// Replaces the caller's credentials and tenant header by the identified tenant. Keys are never
/// forwarded if the configuration lists tenants.
pub(crate) fn set_tenant_header(
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

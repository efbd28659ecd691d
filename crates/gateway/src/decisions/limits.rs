//! Rate and concurrency limits of tenants. Token use is settled when a request ends.

use std::{sync::Arc, time::Duration};

use linnethitch_config::fleet::Tenant;
use linnethitch_errors::Failure;
use linnethitch_protocol::ids::TenantId;
use linnethitch_routing::{
    ReasonCode,
    limits::{LimitRefusal, Reservation, TenantNumber},
};

use crate::decisions::{Decisions, RequestRefusal};

/// A permit for one request in flight of a tenant. Dropping it releases the slot and settles
/// the tokens used.
pub(crate) struct TenantPermit {
    pub(crate) tenant: TenantNumber,
    /// The tenant's name.
    pub(crate) owner: TenantId,
    pub(crate) weight: u32,
    /// Tokens used so far, settled when the permit is dropped.
    pub(crate) used_tokens: u32,
    decisions: Arc<Decisions>,
    reservation: Option<Reservation>,
}

impl Decisions {
    /// Reserves a request and its estimated tokens within the tenant's limits.
    ///
    /// # Errors
    /// A refusal that names the exceeded limit and when to retry.
    pub(crate) fn acquire_permit(
        self: &Arc<Self>,
        tenant: &Tenant,
        estimated_tokens: u32,
    ) -> Result<TenantPermit, RequestRefusal> {
        let now = self.clock.now();
        let mut core = self.core.lock();
        let number = core.limits.number(&tenant.name.as_str().into());
        let reservation = core
            .limits
            .try_start(now, number, estimated_tokens)
            .map_err(|refusal| refused(&refusal))?;
        drop(core);
        Ok(TenantPermit {
            tenant: number,
            owner: tenant.name.as_str().into(),
            weight: tenant.weight.max(1),
            used_tokens: 0,
            decisions: Arc::clone(self),
            reservation: Some(reservation),
        })
    }
}

fn refused(refusal: &LimitRefusal) -> RequestRefusal {
    let limit = match refusal.reason {
        ReasonCode::TokenRate => "tokens per second",
        ReasonCode::InFlight => "requests in flight",
        _ => "requests per second",
    };
    RequestRefusal {
        reason: refusal.reason,
        failure: Failure::new(
            refusal.kind(),
            format!("the limit of the tenant's {limit} is reached"),
        )
        .with_retry_after(Duration::from_millis(refusal.retry_after_ms)),
    }
}

impl Drop for TenantPermit {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            let now = self.decisions.clock.now();
            self.decisions
                .core
                .lock()
                .limits
                .settle(now, reservation, self.used_tokens);
        }
    }
}

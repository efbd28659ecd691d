//! One gateway that hears no other one.

use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage};
use linnethitch_routing::{
    dispatch::coordinator_of,
    quota::{FleetQuota, LeasedQuota, QuotaAction, QuotaSettings, QuotaVerdict, QuotaView, Ticket},
};
use linnethitch_tenants::TenantDirectory;
use rstest::rstest;

use super::model::{TENANT, machine, tenant};

/// Requests a second that the tenant may make.
const RATE: u64 = 600;
/// What an earlier start of the gateway read on its clock, which begins at each start.
const EARLIER_MS: u64 = 3_600_000;

/// One of six gateways, of which no other one is heard.
struct Started {
    quota: LeasedQuota,
    own: MachineId,
    gateways: Vec<MachineId>,
    tenants: TenantDirectory,
    control_silent_ms: u64,
    /// Messages about coordinators that do not answer.
    witnesses_asked: usize,
}

impl Started {
    fn new(coordinates: bool) -> Self {
        let gateways: Vec<MachineId> = (0..6).map(machine).collect();
        let coordinator = coordinator_of(TENANT, &gateways);
        let mut owns = gateways.iter().copied();
        let own = owns.find(|own| (coordinator == Some(*own)) == coordinates);
        Started {
            quota: LeasedQuota::new(QuotaSettings::default()),
            own: own.expect("there is one"),
            gateways,
            tenants: TenantDirectory::new(Some(vec![tenant(RATE as f64, RATE as f64)])),
            control_silent_ms: 0,
            witnesses_asked: 0,
        }
    }

    fn act(
        &mut self,
        now_ms: u64,
        act: impl FnOnce(&mut LeasedQuota, &QuotaView<'_>) -> Vec<QuotaAction>,
    ) -> Vec<QuotaAction> {
        let view = QuotaView {
            now_ms,
            own: self.own,
            gateways: &self.gateways,
            witnesses: &self.gateways,
            silent_gateways: &[],
            control_silent_ms: self.control_silent_ms,
            tenants: &self.tenants,
        };
        act(&mut self.quota, &view)
    }

    fn others_say(&mut self, message: &QuotaMessage, now_ms: u64) {
        for from in self.gateways.clone() {
            if from != self.own {
                self.act(now_ms, |quota, view| {
                    quota.handle_message(from, message.clone(), view)
                });
            }
        }
    }

    /// Requests that were admitted, of one in each millisecond. Nobody answers.
    fn admitted(&mut self, from_ms: u64, until_ms: u64) -> u64 {
        let mut admitted = 0;
        for now_ms in from_ms..until_ms {
            if now_ms % 100 == 0 {
                let actions = self.act(now_ms, FleetQuota::run_maintenance);
                let asks = actions.iter().filter(|action| is_ask_of_witness(action));
                self.witnesses_asked += asks.count();
            }
            let (ticket, tenant) = (Ticket(now_ms), tenant(RATE as f64, RATE as f64));
            let mut actions = self.act(now_ms, |quota, view| quota.request(ticket, &tenant, view));
            while !matches!(actions.first(), Some(QuotaAction::Decide { .. })) {
                actions = self.act(now_ms, |quota, view| {
                    quota.answer_timed_out(ticket, &tenant, view)
                });
            }
            let is_admitted = QuotaAction::Decide {
                ticket,
                verdict: QuotaVerdict::Admitted,
            };
            admitted += u64::from(actions.contains(&is_admitted));
        }
        admitted
    }
}

fn is_ask_of_witness(action: &QuotaAction) -> bool {
    matches!(
        action,
        QuotaAction::Send {
            message: QuotaMessage::IsHeard { .. },
            ..
        }
    )
}

/// Without control it goes by its even part, whatever witnesses say.
#[rstest]
#[case::control_is_heard(0, true)]
#[case::control_is_away(5_000, false)]
fn witnesses_are_asked_where_it_makes_a_difference(
    #[case] control_silent_ms: u64,
    #[case] are_asked: bool,
) {
    let mut started = Started::new(false);
    started.control_silent_ms = control_silent_ms;
    started.admitted(0, 2_000);
    assert_eq!(started.witnesses_asked > 0, are_asked);
}

#[rstest]
#[case::witnesses_heard_a_coordinator(true)]
#[case::witnesses_did_not_hear_the_coordinator(false)]
fn what_an_earlier_start_asked_for_does_not_count(#[case] coordinates: bool) {
    let mut started = Started::new(coordinates);
    let mut not_told = Started::new(coordinates);
    let late = if coordinates {
        QuotaMessage::Witnessed {
            sent_ms: EARLIER_MS,
        }
    } else {
        QuotaMessage::Unheard {
            coordinator: coordinator_of(TENANT, &started.gateways).expect("one"),
            asked_ms: EARLIER_MS,
        }
    };
    assert_eq!(started.admitted(0, 1_000), not_told.admitted(0, 1_000));
    started.others_say(&late, 1_000);
    let admitted = started.admitted(1_000, 4_000);
    assert_eq!(admitted, not_told.admitted(1_000, 4_000));
}

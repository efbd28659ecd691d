//! A gateway that receives no message from the other gateways.

use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage};
use linnethitch_routing::{
    dispatch::coordinator_of,
    quota::{FleetQuota, LeasedQuota, QuotaAction, QuotaSettings, QuotaVerdict, QuotaView, Ticket},
};
use linnethitch_tenants::TenantDirectory;
use rstest::rstest;

use super::model::{TENANT, machine, tenant};

/// Requests per second that the tenant may send.
const RATE: u64 = 600;
/// Clock reading of an earlier incarnation of the gateway; the clock starts anew at each start.
const EARLIER_CLOCK_MS: u64 = 3_600_000;

/// One of six gateways, which receives nothing from the others.
struct IsolatedGateway {
    quota: LeasedQuota,
    own: MachineId,
    gateways: Vec<MachineId>,
    tenants: TenantDirectory,
    control_silent_ms: u64,
    /// Messages to witnesses about coordinators that do not answer.
    witnesses_asked: usize,
}

impl IsolatedGateway {
    fn new(is_coordinator: bool) -> Self {
        let gateways: Vec<MachineId> = (0..6).map(machine).collect();
        let coordinator = coordinator_of(TENANT, &gateways);
        let mut owns = gateways.iter().copied();
        let own = owns.find(|own| (coordinator == Some(*own)) == is_coordinator);
        IsolatedGateway {
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

    fn receive_from_others(&mut self, message: &QuotaMessage, now_ms: u64) {
        for from in self.gateways.clone() {
            if from != self.own {
                self.act(now_ms, |quota, view| {
                    quota.handle_message(from, message.clone(), view)
                });
            }
        }
    }

    /// Number of admitted requests, with one request in each millisecond and no answers.
    fn admitted(&mut self, from_ms: u64, until_ms: u64) -> u64 {
        let mut admitted = 0;
        for now_ms in from_ms..until_ms {
            if now_ms % 100 == 0 {
                let actions = self.act(now_ms, FleetQuota::run_maintenance);
                let witness_requests = actions.iter().filter(|action| is_witness_request(action));
                self.witnesses_asked += witness_requests.count();
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

fn is_witness_request(action: &QuotaAction) -> bool {
    matches!(
        action,
        QuotaAction::Send {
            message: QuotaMessage::ContactQuery { .. },
            ..
        }
    )
}

/// Without control the gateway uses its even share, whatever witnesses report.
#[rstest]
#[case::control_is_reachable(0, true)]
#[case::control_is_unreachable(5_000, false)]
fn witnesses_are_asked_only_while_control_is_reachable(
    #[case] control_silent_ms: u64,
    #[case] expect_requests: bool,
) {
    let mut gateway = IsolatedGateway::new(false);
    gateway.control_silent_ms = control_silent_ms;
    gateway.admitted(0, 2_000);
    assert_eq!(gateway.witnesses_asked > 0, expect_requests);
}

#[rstest]
#[case::witnesses_had_contact(true)]
#[case::witnesses_had_no_contact(false)]
fn answers_to_an_earlier_incarnation_are_ignored(#[case] is_coordinator: bool) {
    let mut gateway = IsolatedGateway::new(is_coordinator);
    let mut reference = IsolatedGateway::new(is_coordinator);
    let stale_answer = if is_coordinator {
        QuotaMessage::WitnessResponse {
            sent_ms: EARLIER_CLOCK_MS,
        }
    } else {
        QuotaMessage::NoContact {
            coordinator: coordinator_of(TENANT, &gateway.gateways).expect("one"),
            asked_ms: EARLIER_CLOCK_MS,
        }
    };
    assert_eq!(gateway.admitted(0, 1_000), reference.admitted(0, 1_000));
    gateway.receive_from_others(&stale_answer, 1_000);
    let admitted = gateway.admitted(1_000, 4_000);
    assert_eq!(admitted, reference.admitted(1_000, 4_000));
}

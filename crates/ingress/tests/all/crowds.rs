//! Random crowds: the limits hold, nobody is sent away while there is room, and an ordinary
//! request gets in.

use linnethitch_ingress::{ConnectionId, IngressPolicy};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use crate::support::{KIB, MEMORY, Process};

/// Number of random crowds.
const CASES: u32 = 1_000;
const MAX_CONNECTIONS: usize = 20;
/// The largest body of a request, in bytes. A body that is alone and takes more than half of the
/// memory may leave nothing for others.
const LARGEST_BODY: u64 = MEMORY / 2;
/// An ordinary body, in bytes.
const ORDINARY_BYTES: u64 = 8 * KIB;

/// A step of a client of the crowd; numbers choose among the crowd's connections.
#[derive(Clone, Copy, Debug)]
enum Step {
    Connect,
    SendHead(usize),
    Grow(usize, u64),
    Complete(usize),
    Answered(usize),
    Leave(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Connect),
        3 => any::<usize>().prop_map(Step::SendHead),
        6 => (any::<usize>(), 16 * KIB..300 * KIB).prop_map(|(client, bytes)| Step::Grow(client, bytes)),
        2 => any::<usize>().prop_map(Step::Complete),
        1 => any::<usize>().prop_map(Step::Answered),
        1 => any::<usize>().prop_map(Step::Leave),
    ];
    vec(step, 1..300)
}

/// A client of the crowd as the test knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Client {
    Connected,
    SendsBody(u64),
    Runs(u64),
}

struct Crowd {
    process: Process,
    clients: Vec<(ConnectionId, Client)>,
    now_ms: u64,
}

impl Crowd {
    fn chosen(&mut self, number: usize) -> Option<&mut (ConnectionId, Client)> {
        let count = self.clients.len();
        (count > 0).then(|| &mut self.clients[number % count])
    }

    fn policy(&mut self) -> &mut IngressPolicy {
        &mut self.process.policy
    }

    /// Bytes of all bodies.
    fn bytes(&self) -> u64 {
        let bytes = self.clients.iter().map(|(_, client)| match client {
            Client::Connected => 0,
            Client::SendsBody(bytes) | Client::Runs(bytes) => *bytes,
        });
        bytes.sum()
    }

    fn forget(&mut self, ids: &[ConnectionId]) {
        for (id, client) in &mut self.clients {
            if ids.contains(id) {
                *client = Client::Connected;
            }
        }
    }

    fn step(&mut self, step: Step) {
        self.now_ms += 7;
        let now_ms = self.now_ms;
        match step {
            Step::Connect => self.connect(),
            Step::SendHead(number) => {
                let Some((id, Client::Connected)) = self.chosen(number).copied() else {
                    return;
                };
                assert!(self.policy().head_received(id, now_ms));
                self.policy().body_begun(id, now_ms);
                self.set(id, Client::SendsBody(0));
            }
            Step::Grow(number, bytes) => self.grow(number, bytes),
            Step::Complete(number) => {
                let Some((id, Client::SendsBody(bytes))) = self.chosen(number).copied() else {
                    return;
                };
                assert_eq!(self.policy().body_completed(id, now_ms), Some(bytes));
                self.set(id, Client::Runs(bytes));
            }
            Step::Answered(number) => {
                let Some((id, Client::Runs(bytes))) = self.chosen(number).copied() else {
                    return;
                };
                self.policy().release(bytes);
                self.policy().response_sent(id, now_ms);
                self.set(id, Client::Connected);
            }
            Step::Leave(number) => {
                let Some((id, client)) = self.chosen(number).copied() else {
                    return;
                };
                if let Client::Runs(bytes) = client {
                    self.policy().release(bytes);
                }
                self.policy().remove(id);
                self.clients.retain(|(other, _)| *other != id);
            }
        }
    }

    fn set(&mut self, id: ConnectionId, now: Client) {
        for (other, client) in &mut self.clients {
            if *other == id {
                *client = now;
            }
        }
    }

    fn connect(&mut self) {
        let is_full = self.clients.len() == MAX_CONNECTIONS;
        let listener = self.process.listener;
        let now_ms = self.now_ms;
        let Some(accepted) = self.policy().accept(listener, now_ms) else {
            let runs = |(_, client): &(ConnectionId, Client)| matches!(client, Client::Runs(_));
            assert!(is_full && self.clients.iter().all(runs));
            return;
        };
        assert_eq!(accepted.closed.is_some(), is_full);
        self.clients.retain(|(id, _)| Some(*id) != accepted.closed);
        self.clients.push((accepted.id, Client::Connected));
    }

    fn grow(&mut self, number: usize, bytes: u64) {
        let Some((id, Client::SendsBody(held))) = self.chosen(number).copied() else {
            return;
        };
        let others = self.bytes() - held;
        let size = held + bytes;
        if size > LARGEST_BODY {
            return;
        }
        let has_room = others + 2 * size <= MEMORY || (others == 0 && size <= MEMORY);
        let now_ms = self.now_ms;
        match self.policy().grow_body(id, bytes, now_ms) {
            Ok(refused) => {
                assert_eq!(refused.is_empty(), has_room);
                self.forget(&refused);
                self.set(id, Client::SendsBody(size));
            }
            Err(_) => {
                assert!(!has_room);
                self.set(id, Client::Connected);
            }
        }
    }

    /// Whether an ordinary request is received; also true if no connection is free for it.
    fn serves_an_ordinary_request(&mut self) -> bool {
        let runs = |(_, client): &(ConnectionId, Client)| matches!(client, Client::Runs(_));
        if self.clients.len() == MAX_CONNECTIONS && self.clients.iter().all(runs) {
            return true;
        }
        let (id, grown) = self.process.body(ORDINARY_BYTES, self.now_ms);
        let now_ms = self.now_ms;
        grown.is_ok() && self.policy().body_completed(id, now_ms).is_some()
    }

    fn check(&self) {
        assert!(self.process.policy.body_bytes() <= MEMORY);
        assert_eq!(self.process.policy.body_bytes(), self.bytes());
        assert!(self.process.open() <= MAX_CONNECTIONS);
        assert_eq!(self.process.open(), self.clients.len());
    }
}

#[test]
fn limits_hold_and_an_ordinary_request_gets_in() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&steps(), |steps| {
        let mut crowd = Crowd {
            process: Process::new(MAX_CONNECTIONS),
            clients: Vec::new(),
            now_ms: 0,
        };
        for step in steps {
            crowd.step(step);
            crowd.check();
        }
        prop_assert!(crowd.serves_an_ordinary_request());
        Ok(())
    });
    outcome.expect("every crowd is withstood");
}

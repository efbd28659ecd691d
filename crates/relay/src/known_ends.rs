//! Ends of replicas under copies of a request and under the parts of its prompt, as known at one
//! moment.

use linnethitch_registry::{
    ConsecutiveEnds, EndedRun, PartVerdict, RequestFingerprint, is_almost_refused,
    is_part_almost_refused,
};

/// What is known of a request's content and of its parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownEnds {
    pub(crate) content: ConsecutiveEnds,
    /// Its shared parts, in order; empty if no replica has ended under any request recently.
    pub(crate) parts: Vec<PartEnds>,
    /// Refusals of the request and of its parts that it is tried in spite of.
    pub(crate) tried_refusals: Vec<RefusalRecord>,
    /// Whether these are the ends under a batch item, which is never suspected.
    is_item: bool,
}

/// The record of a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RefusalRecord {
    pub(crate) key: RequestFingerprint,
    pub(crate) ends: ConsecutiveEnds,
}

/// What is known of one part of a prompt.
#[derive(Clone, Debug)]
pub(crate) struct PartEnds {
    pub(crate) part: u64,
    pub(crate) key: RequestFingerprint,
    pub(crate) ends: ConsecutiveEnds,
    pub(crate) verdict: PartVerdict,
    /// Whether many requests have the part.
    pub(crate) is_common: bool,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusedBy {
    /// Replicas ended under copies of it.
    Content,
    /// Replicas ended under requests with this part.
    Part(u64),
    /// Neither yet: what else ended with the last replica is not known for this time, in
    /// milliseconds.
    Unsettled(u64),
}

impl RefusedBy {
    /// The part in the form of the prompt's description, for logs.
    pub(crate) fn part(self) -> Option<String> {
        match self {
            RefusedBy::Content | RefusedBy::Unsettled(_) => None,
            RefusedBy::Part(part) => Some(format!("{part:x}")),
        }
    }
}

impl KnownEnds {
    pub(crate) fn of_request(
        content: ConsecutiveEnds,
        parts: Vec<PartEnds>,
        tried_refusals: Vec<RefusalRecord>,
    ) -> Self {
        KnownEnds {
            content,
            parts,
            tried_refusals,
            is_item: false,
        }
    }

    pub(crate) fn of_item(ends: ConsecutiveEnds) -> Self {
        KnownEnds {
            content: ends,
            parts: Vec::new(),
            tried_refusals: Vec::new(),
            is_item: true,
        }
    }

    /// Whether the request must run without other suspected requests.
    pub(crate) fn is_suspected(&self) -> bool {
        !self.is_item
            && (!self.content.is_empty()
                || !self.tried_refusals.is_empty()
                || self.suspected_parts().next().is_some())
    }

    /// Whether one more end refuses the request.
    pub(crate) fn is_almost_refused(&self) -> bool {
        let mut parts = self.suspected_parts();
        is_almost_refused(&self.content)
            || parts.any(|part| is_part_almost_refused(part.ends.lengths_ms.len()))
    }

    /// The number that chooses the replica of a suspected request, so that requests that share
    /// what is most suspected follow each other at one replica. `None` if it is not suspected.
    pub(crate) fn isolation_number(
        &self,
        content: impl FnOnce() -> RequestFingerprint,
    ) -> Option<u64> {
        if !self.is_suspected() {
            return None;
        }
        // Of several parts with equal ends the last one is shared by the fewest requests.
        let parts = self
            .parts
            .iter()
            .filter(|part| !part.is_common && is_part_almost_refused(part.ends.lengths_ms.len()));
        let part = parts.max_by_key(|part| part.ends.lengths_ms.len());
        Some(part.map_or_else(content, |part| part.key).number())
    }

    /// Whether later ends are known now that decide whether and where the request runs.
    pub(crate) fn is_outdated(&self, now: &KnownEnds) -> bool {
        let is_newer =
            |now: &ConsecutiveEnds, then: &ConsecutiveEnds| !now.is_empty() && now.supersedes(then);
        if self.is_item {
            return false;
        }
        let mut parts = now.suspected_parts();
        is_newer(&now.content, &self.content)
            || parts.any(|part| is_newer(&part.ends, &self.of_part(&part.key)))
    }

    /// What was known of a part.
    pub(crate) fn of_part(&self, key: &RequestFingerprint) -> ConsecutiveEnds {
        let known = self.parts.iter().find(|part| part.key == *key);
        known.map(|part| part.ends.clone()).unwrap_or_default()
    }

    /// The interrupted run under the keys of the refusals that it was tried in spite of.
    pub(crate) fn ended_runs_of_refusals(&self) -> impl Iterator<Item = EndedRun> {
        self.tried_refusals.iter().map(|refusal| EndedRun {
            fingerprint: refusal.key,
            known: refusal.ends.clone(),
            ran_ms: 0,
        })
    }

    /// The interrupted run under the key of one of its parts.
    pub(crate) fn ended_run_of_part(&self, key: RequestFingerprint, ran_ms: u32) -> EndedRun {
        EndedRun {
            fingerprint: key,
            known: self.of_part(&key),
            ran_ms,
        }
    }

    /// The parts with the ends of each, as in `f1:0,2c:2`, for logs.
    pub(crate) fn parts_text(&self) -> String {
        let parts = self.parts.iter();
        let texts = parts.map(|known| format!("{:x}:{}", known.part, known.ends.lengths_ms.len()));
        texts.collect::<Vec<String>>().join(",")
    }

    fn suspected_parts(&self) -> impl Iterator<Item = &PartEnds> {
        self.parts
            .iter()
            .filter(|part| part.verdict >= PartVerdict::RunsAlone)
    }
}

//! Snapshots of the job store: the texts of results, then an index of all other state.
//!
//! Content: the concatenated texts, the index as a stored value ([`stored`]), then the
//! length of the index as a little-endian `u64`. Texts never change, so they are written
//! piece by piece while the store continues to apply commands. A restored store reads them
//! from the snapshot: memory holds only the texts added after the newest snapshot.

use std::collections::BTreeMap;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_group::SnapshotSource;
use linnethitch_protocol::{format::Format, stored};
use linnethitch_storage::SnapshotReader;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    accepted_route::AcceptedRoute,
    job::{Item, Job, JobSpec, Listed, ListedState},
    progress::{ItemEvents, ProgressTable, RunId},
    store::JobStore,
    text::{StoredText, Text},
};

/// Layout of an index without item progress. Still read.
const FIRST_LAYOUT: u8 = 1;
/// Layout of an index with item progress and without tenants. Still read.
const PROGRESS_LAYOUT: u8 = 2;
/// Layout of an index with tenants and without the runs that reported progress: the first
/// format.
const TENANTS_LAYOUT: u8 = 3;
/// Layout of the index in the second format.
const RUNS_LAYOUT: u8 = 4;
/// Layout of the index in the third format, with the content of the second.
const THIRD_FORMAT_LAYOUT: u8 = 5;
/// Layout of the index in the fourth format: [`RoutedIndex`].
const INDEX_LAYOUT: u8 = 6;
/// Size of the length field at the end of the content, in bytes.
const LENGTH_BYTES: usize = 8;
/// Approximate size of the pieces in which texts are written, in bytes.
const PIECE_BYTES: usize = 256 * 1024;

#[derive(Archive, Serialize, Deserialize)]
struct Index {
    jobs: Vec<IndexedJob>,
    accepted: u64,
}

/// The index with the progress of items.
#[derive(Archive, Serialize, Deserialize)]
struct ProgressIndex {
    index: Index,
    generated: Vec<ItemEvents>,
}

/// The index with tenants.
#[derive(Archive, Serialize, Deserialize)]
struct TenantsIndex {
    index: Index,
    generated: Vec<ItemEvents>,
    tenants: Vec<JobTenant>,
}

/// The index in the second and third format.
#[derive(Archive, Serialize, Deserialize)]
struct FullIndex {
    index: Index,
    generated: Vec<ItemEvents>,
    /// The run that reported last, for each entry of `generated`. Entries over its length were
    /// reported without run ids.
    reporters: Vec<RunId>,
    tenants: Vec<JobTenant>,
}

/// The index in the newest format.
#[derive(Archive, Serialize, Deserialize)]
struct RoutedIndex {
    index: FullIndex,
    /// The routes of jobs, as far as they are known.
    routes: Vec<JobRoute>,
}

impl RoutedIndex {
    /// An index without routes.
    fn without_routes(index: FullIndex) -> Self {
        RoutedIndex {
            index,
            routes: Vec::new(),
        }
    }

    /// The index in a format that all members read. The first format has no reporting runs, the
    /// first three have no routes.
    fn into_stored(self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        match format {
            Format::First => {
                let index = TenantsIndex {
                    index: self.index.index,
                    generated: self.index.generated,
                    tenants: self.index.tenants,
                };
                stored::encode(TENANTS_LAYOUT, &index)
            }
            Format::Second => stored::encode(RUNS_LAYOUT, &self.index),
            Format::Third => stored::encode(THIRD_FORMAT_LAYOUT, &self.index),
            Format::Fourth => stored::encode(INDEX_LAYOUT, &self),
        }
    }
}

/// The route of a job.
#[derive(Archive, Serialize, Deserialize)]
struct JobRoute {
    job: String,
    route: AcceptedRoute,
}

/// The tenant of a job.
#[derive(Archive, Serialize, Deserialize)]
struct JobTenant {
    job: String,
    tenant: String,
}

#[derive(Archive, Serialize, Deserialize)]
struct IndexedJob {
    spec: JobSpec,
    age_ms: u64,
    number: u64,
    items: Vec<Item>,
    results: Vec<IndexedResult>,
    ended: bool,
}

#[derive(Archive, Serialize, Deserialize)]
struct IndexedResult {
    item: u32,
    state: ListedState,
    text: StoredText,
}

/// The positions of a job's texts in the snapshot, by result position.
struct JobTexts {
    id: String,
    number: u64,
    texts: Vec<StoredText>,
}

/// The store at one log index. Can be written while the store applies further commands.
pub struct JobStoreSnapshot {
    /// The snapshot that contains the texts stored before.
    previous: Option<SnapshotReader>,
    texts: std::vec::IntoIter<Text>,
    job_texts: Vec<JobTexts>,
    /// The index with its length; `None` once written.
    index: Option<Vec<u8>>,
}

impl JobStoreSnapshot {
    /// A snapshot of the current state.
    ///
    /// # Errors
    /// `Internal` when the index cannot be encoded.
    pub(crate) fn capture(store: &JobStore) -> Result<Self, Report<ErrorKind>> {
        let mut layout = TextLayout::default();
        let jobs = store.jobs.values().map(|job| layout.index(job)).collect();
        let index = FullIndex {
            index: Index {
                jobs,
                accepted: store.accepted,
            },
            generated: store.progress.to_list(),
            reporters: store.progress.reporters(),
            tenants: store.jobs.values().filter_map(tenant_of).collect(),
        };
        let index = RoutedIndex {
            index,
            routes: store.jobs.values().filter_map(route_of).collect(),
        };
        let mut index = index.into_stored(store.format)?;
        let length = index.len() as u64;
        index.extend_from_slice(&length.to_le_bytes());
        Ok(JobStoreSnapshot {
            previous: store.snapshot.clone(),
            texts: layout.texts.into_iter(),
            job_texts: layout.job_texts,
            index: Some(index),
        })
    }

    /// Releases the in-memory texts that the stored snapshot contains.
    pub(crate) fn release_texts(self, jobs: &mut BTreeMap<String, Job>) {
        for job_texts in self.job_texts {
            let found = jobs.get_mut(&job_texts.id);
            let Some(job) = found.filter(|job| job.number == job_texts.number) else {
                continue;
            };
            for (listed, stored) in job.results.iter_mut().zip(job_texts.texts) {
                listed.text = Text::Stored(stored);
            }
        }
    }
}

impl SnapshotSource for JobStoreSnapshot {
    fn next_piece(&mut self) -> Result<Option<Vec<u8>>, Report<ErrorKind>> {
        let mut piece = Vec::new();
        while piece.len() < PIECE_BYTES {
            let Some(text) = self.texts.next() else {
                break;
            };
            piece.extend_from_slice(text.read(self.previous.as_ref())?.as_bytes());
        }
        if piece.is_empty() {
            return Ok(self.index.take());
        }
        Ok(Some(piece))
    }
}

/// Assigns consecutive positions to texts.
#[derive(Default)]
struct TextLayout {
    texts: Vec<Text>,
    job_texts: Vec<JobTexts>,
    next_offset: u64,
}

impl TextLayout {
    fn index(&mut self, job: &Job) -> IndexedJob {
        let results: Vec<IndexedResult> = job
            .results
            .iter()
            .map(|listed| IndexedResult {
                item: listed.item,
                state: listed.state,
                text: self.append(&listed.text),
            })
            .collect();
        self.job_texts.push(JobTexts {
            id: job.spec.id.clone(),
            number: job.number,
            texts: results.iter().map(|result| result.text).collect(),
        });
        IndexedJob {
            spec: job.spec.clone(),
            age_ms: job.age_ms,
            number: job.number,
            items: job.items.clone(),
            results,
            ended: job.ended,
        }
    }

    fn append(&mut self, text: &Text) -> StoredText {
        let stored = StoredText {
            offset: self.next_offset,
            bytes: text.bytes() as u32,
        };
        self.next_offset += u64::from(stored.bytes);
        self.texts.push(text.clone());
        stored
    }
}

/// Restores the store from a stored snapshot; texts remain in the snapshot.
///
/// # Errors
/// `Corrupted` when the content is not a snapshot of a job store, `DataFolderRefused`
/// for an unknown layout, `Io`.
pub(crate) fn restore(content: SnapshotReader) -> Result<JobStore, Report<ErrorKind>> {
    let stored_index = read_index(&content)?;
    let format = match stored::layout_of(&stored_index) {
        Some(layout) if layout > THIRD_FORMAT_LAYOUT => Format::Fourth,
        Some(layout) if layout > RUNS_LAYOUT => Format::Third,
        Some(layout) if layout > TENANTS_LAYOUT => Format::Second,
        _ => Format::First,
    };
    let RoutedIndex { index, routes } = decode_index(&stored_index)?;
    let FullIndex {
        index,
        generated,
        reporters,
        tenants,
    } = index;
    let jobs = index.jobs.into_iter().map(restore_job);
    let mut jobs: BTreeMap<String, Job> = jobs.map(|job| (job.spec.id.clone(), job)).collect();
    for JobTenant { job, tenant } in tenants {
        if let Some(job) = jobs.get_mut(&job) {
            job.tenant = Some(tenant);
        }
    }
    for JobRoute { job, route } in routes {
        if let Some(job) = jobs.get_mut(&job) {
            job.spec.route = Some(route);
        }
    }
    let open = jobs.values().filter(|job| job.is_open());
    Ok(JobStore {
        open: open.map(|job| job.spec.id.clone()).collect(),
        jobs,
        accepted: index.accepted,
        snapshot: Some(content),
        progress: ProgressTable::from_list(generated, &reporters),
        format,
    })
}

fn decode_index(bytes: &[u8]) -> Result<RoutedIndex, Report<ErrorKind>> {
    if stored::layout_of(bytes) == Some(INDEX_LAYOUT) {
        return stored::decode(&[INDEX_LAYOUT], bytes);
    }
    decode_index_without_routes(bytes).map(RoutedIndex::without_routes)
}

fn decode_index_without_routes(bytes: &[u8]) -> Result<FullIndex, Report<ErrorKind>> {
    match stored::layout_of(bytes) {
        Some(FIRST_LAYOUT) => Ok(FullIndex {
            index: stored::decode(&[FIRST_LAYOUT], bytes)?,
            generated: Vec::new(),
            reporters: Vec::new(),
            tenants: Vec::new(),
        }),
        Some(PROGRESS_LAYOUT) => {
            let ProgressIndex { index, generated } = stored::decode(&[PROGRESS_LAYOUT], bytes)?;
            Ok(FullIndex {
                index,
                generated,
                reporters: Vec::new(),
                tenants: Vec::new(),
            })
        }
        Some(TENANTS_LAYOUT) => {
            let TenantsIndex {
                index,
                generated,
                tenants,
            } = stored::decode(&[TENANTS_LAYOUT], bytes)?;
            Ok(FullIndex {
                index,
                generated,
                reporters: Vec::new(),
                tenants,
            })
        }
        _ => stored::decode(&[RUNS_LAYOUT, THIRD_FORMAT_LAYOUT], bytes),
    }
}

fn read_index(content: &SnapshotReader) -> Result<Vec<u8>, Report<ErrorKind>> {
    let too_short =
        || Report::new(ErrorKind::Corrupted).attach("job store snapshot too short for its index");
    let bytes = content.content_bytes();
    let end = bytes
        .checked_sub(LENGTH_BYTES as u64)
        .ok_or_else(too_short)?;
    let length = content.read(end, LENGTH_BYTES)?;
    let length: [u8; LENGTH_BYTES] = length.try_into().map_err(|_| too_short())?;
    let length = u64::from_le_bytes(length);
    let start = end.checked_sub(length).ok_or_else(too_short)?;
    content.read(start, length as usize)
}

fn tenant_of(job: &Job) -> Option<JobTenant> {
    let tenant = job.tenant.clone()?;
    Some(JobTenant {
        job: job.spec.id.clone(),
        tenant,
    })
}

fn route_of(job: &Job) -> Option<JobRoute> {
    let route = job.spec.route.clone()?;
    Some(JobRoute {
        job: job.spec.id.clone(),
        route,
    })
}

fn restore_job(job: IndexedJob) -> Job {
    let results = job.results.into_iter().map(|result| Listed {
        item: result.item,
        state: result.state,
        text: Text::Stored(result.text),
    });
    let unlisted = job.items.iter().filter(|item| !item.listed);
    Job {
        waiting_tokens: unlisted.map(|item| item.spec.tokens).sum(),
        item_bytes: job.items.iter().map(|item| item.spec.memory_bytes()).sum(),
        spec: job.spec,
        tenant: None,
        age_ms: job.age_ms,
        number: job.number,
        items: job.items,
        results: results.collect(),
        ended: job.ended,
    }
}

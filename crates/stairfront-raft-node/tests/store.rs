//! What a crash, a torn write and a flipped bit leave of a voter's store.
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex};

use redb::StorageBackend;
use stairfront_common::random::SeededRng;
use stairfront_raft::{
    Entry, HardState, IndexedEntry, LogIndex, Payload, Ready, Recovered, Snapshot, Voter,
};
use stairfront_raft_node::{Store, StoreError};

/// A disk that forgets, when it loses power, writes that were not synced: some of them, or the end
/// of one.
#[derive(Debug, Default)]
struct DiskState {
    synced: Vec<u8>,
    current: Vec<u8>,
    /// Offset and bytes of each write since the last sync.
    unsynced: Vec<(usize, Vec<u8>)>,
    /// Further writes until the disk is full.
    writes_left: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

impl Disk {
    fn with_content(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(DiskState {
            synced: bytes.clone(),
            current: bytes,
            ..DiskState::default()
        })))
    }

    /// The disk after a loss of power.
    fn after_power_loss(&self, rng: &mut SeededRng) -> Disk {
        let state = self.0.lock().unwrap();
        let mut left = state.synced.clone();
        for (offset, bytes) in &state.unsynced {
            let kept = match rng.below(3_u64) {
                0 => 0,
                1 => rng.below(bytes.len() as u64) as usize,
                _ => bytes.len(),
            };
            if left.len() < offset + kept {
                left.resize(offset + kept, 0);
            }
            left[*offset..offset + kept].copy_from_slice(&bytes[..kept]);
        }
        Disk::with_content(left)
    }

    fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().current.clone()
    }

    fn fill_up_after(&self, writes: u64) {
        self.0.lock().unwrap().writes_left = Some(writes);
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().current.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let state = self.0.lock().unwrap();
        let from = offset as usize;
        state
            .current
            .get(from..from + len)
            .map(<[u8]>::to_vec)
            .ok_or(io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        state.current.resize(len as usize, 0);
        // A length is kept with the next sync, or by a write behind it.
        Ok(())
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        state.synced = state.current.clone();
        state.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if let Some(writes_left) = &mut state.writes_left {
            *writes_left = writes_left
                .checked_sub(1)
                .ok_or(io::Error::other("no space left"))?;
        }
        let from = offset as usize;
        let to = from + data.len();
        if state.current.len() < to {
            state.current.resize(to, 0);
        }
        state.current[from..to].copy_from_slice(data);
        state.unsynced.push((from, data.to_vec()));
        Ok(())
    }
}

fn voter(incarnation: u64) -> Voter {
    Voter {
        name: "b0".to_string(),
        incarnation,
    }
}

fn open(disk: &Disk, incarnation: u64) -> Result<(Store, Recovered), StoreError> {
    Store::open_on(disk.clone(), "g", voter(incarnation))
}

/// A random batch, and the content of the store once it is saved.
fn random_batch(rng: &mut SeededRng, known: &Recovered) -> (Ready, Recovered) {
    let mut next = known.clone();
    let mut ready = Ready::default();
    let term = next.hard_state.term + rng.below(2_u64);
    next.hard_state = HardState {
        term,
        vote: rng.happens(0.5).then(|| voter(rng.below(3))),
    };
    ready.hard_state = Some(next.hard_state.clone());
    let (first, last) = (next.log.snapshot.index + 1, next.log.last_index());
    let entries = (last + 1).saturating_sub(first);
    if entries > 0 && rng.happens(0.2) {
        let from = first + rng.below(entries);
        next.log.truncate(from);
        ready.truncate_from = Some(from);
    } else if entries > 0 && rng.happens(0.2) {
        let index = first + rng.below(entries);
        let snapshot = Snapshot {
            index,
            term: next.log.term(index).unwrap(),
            voters: vec![voter(1)],
            cluster_id: 1,
            data: vec![7; 900],
        };
        next.log.compact(snapshot.clone());
        ready.snapshot = Some(snapshot);
    }
    for _ in 0..rng.below(4_u64) {
        let length = rng.below(2000_u64);
        let command = (0..length).map(|_| rng.below(256_u64) as u8).collect();
        let payload = Payload::Command(command);
        append(&mut next, &mut ready, Entry { term, payload });
    }
    (ready, next)
}

fn append(known: &mut Recovered, ready: &mut Ready, entry: Entry) {
    let index = known.log.push(entry.clone());
    ready.append.push(IndexedEntry { index, entry });
}

fn same(a: &Recovered, b: &Recovered) -> bool {
    a.hard_state == b.hard_state && a.log == b.log
}

#[test]
fn a_saved_batch_survives_any_loss_of_power() {
    let (mut lost, mut kept) = (0, 0);
    for seed in 0..10 {
        let mut rng = SeededRng::for_part(seed, "store");
        let mut disk = Disk::default();
        let mut known = Recovered::default();
        for incarnation in 0..6 {
            let (store, found) =
                open(&disk, incarnation).expect("a crash leaves a store that opens");
            assert!(
                same(&found, &known),
                "seed {seed}: {found:?} in place of {known:?}"
            );
            // The incarnation of the first start stays.
            assert_eq!(store.voter(), &voter(0));
            for _ in 0..1 + rng.below(6_u64) {
                let (ready, next) = random_batch(&mut rng, &known);
                store.save(&ready).unwrap();
                known = next;
            }
            // One more is under way when the power goes: it is there as a whole, or not at all.
            let (ready, next) = random_batch(&mut rng, &known);
            disk.fill_up_after(rng.below(12));
            let is_saved = store.save(&ready).is_ok();
            disk = disk.after_power_loss(&mut rng);
            drop(store);
            let (_, found) = open(&disk, 99).expect("a crash leaves a store that opens");
            assert!(
                same(&found, &next) || !is_saved && same(&found, &known),
                "seed {seed}: neither of both"
            );
            if same(&found, &known) {
                lost += 1;
            } else {
                kept += 1;
                known = next;
            }
        }
    }
    assert!(
        lost > 5 && kept > 5,
        "{lost} {kept}: one of the two was hardly tried"
    );
}

/// A store with random batches and eight long entries at the end.
fn filled_store(rng: &mut SeededRng) -> (Vec<u8>, Recovered) {
    let disk = Disk::default();
    let (store, mut known) = open(&disk, 0).unwrap();
    for _ in 0..12 {
        let (ready, next) = random_batch(rng, &known);
        store.save(&ready).unwrap();
        known = next;
    }
    let mut ready = Ready::default();
    let term = known.hard_state.term;
    for byte in 0..8 {
        let payload = Payload::Command(vec![200 + byte; 300]);
        append(&mut known, &mut ready, Entry { term, payload });
    }
    store.save(&ready).unwrap();
    drop(store);
    (disk.bytes(), known)
}

/// Where the first bytes of an entry's command are in a file, also in old pages; none for a short
/// or another entry.
fn places_of_entry(file: &[u8], known: &Recovered, index: LogIndex) -> Option<Vec<usize>> {
    const PART: usize = 24;
    let Payload::Command(command) = &known.log.get(index)?.payload else {
        return None;
    };
    let part = command.get(..PART)?;
    let windows = file.windows(PART).enumerate();
    Some(
        windows
            .filter(|(_, window)| window == &part)
            .map(|(offset, _)| offset)
            .collect(),
    )
}

/// A vote or an entry that a bad sector has changed would be taken for one that was promised.
#[test]
fn a_flipped_bit_is_refused_or_changes_nothing() {
    let mut rng = SeededRng::for_part(1, "bits");
    let (file, known) = filled_store(&mut rng);
    let used: Vec<usize> = (0..file.len())
        .filter(|offset| file[*offset] != 0)
        .collect();
    let entries = known.log.snapshot.index + 1..=known.log.last_index();
    let of_entries: Vec<Vec<usize>> = entries
        .filter_map(|index| places_of_entry(&file, &known, index))
        .collect();
    assert!(of_entries.len() > 5, "{of_entries:?}");
    let anywhere = (0..30).map(|_| vec![used[rng.below(used.len() as u64) as usize]]);
    let (mut refused, mut harmless) = (0, 0);
    for places in anywhere.chain(of_entries.clone()) {
        let mut bytes = file.clone();
        for place in &places {
            bytes[*place] ^= 1 << (place % 8);
        }
        let opened = catch_unwind(AssertUnwindSafe(|| open(&Disk::with_content(bytes), 5)));
        match opened {
            Ok(Ok((_, found))) if same(&found, &known) => harmless += 1,
            Ok(Err(error)) => {
                refused += 1;
                assert!(error.to_string().contains("memory"), "{error}");
            }
            // The thread of the store catches a panic and reports it.
            Err(_) => refused += 1,
            Ok(Ok((_, found))) => panic!("byte {}: {found:?}", places[0]),
        }
    }
    assert!(
        refused >= of_entries.len() && harmless > 10,
        "{refused} refused, {harmless} harmless"
    );
    for cut in [file.len() / 2, file.len() - 4096, 700] {
        let cut_file = Disk::with_content(file[..cut].to_vec());
        let opened = catch_unwind(AssertUnwindSafe(|| {
            open(&cut_file, 5).map(|(_, found)| found)
        }));
        assert!(
            !matches!(opened, Ok(Ok(found)) if !same(&found, &known)),
            "cut at {cut}"
        );
    }
}

#[test]
fn another_voters_file_and_a_full_disk_are_reported() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("agreement.redb");
    let open_error = |voter| {
        let opened = Store::open(&path, "g", voter);
        opened.err().map(|error| error.to_string())
    };
    let (store, _) = Store::open(&path, "g", voter(1)).unwrap();
    let twice = open_error(voter(2)).expect("one process at a time has it open");
    assert!(twice.contains("another process"), "{twice}");
    drop(store);
    let other = Voter {
        name: "b1".to_string(),
        incarnation: 3,
    };
    let foreign = open_error(other).expect("it is b0's");
    assert!(foreign.contains("b0 of g, not to b1 of g"), "{foreign}");
    std::fs::write(&path, b"not a store at all").unwrap();
    let corrupt = open_error(voter(1)).expect("not a store");
    assert!(corrupt.contains("Move the file away"), "{corrupt}");
    let disk = Disk::default();
    let (store, known) = open(&disk, 1).unwrap();
    disk.fill_up_after(0);
    let (ready, _) = random_batch(&mut SeededRng::for_part(4, "full"), &known);
    assert!(matches!(store.save(&ready), Err(StoreError::Disk { .. })));
}

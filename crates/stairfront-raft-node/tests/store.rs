//! What a crash, a torn write and a turned bit leave of a voter's store.
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex};

use redb::StorageBackend;
use stairfront_emulator::dice::Dice;
use stairfront_raft::{Entry, HardState, IndexedEntry, Payload, Ready, Recovered, Snapshot, Voter};
use stairfront_raft_node::{Store, StoreError};

/// A disk that forgets, when it loses power, what was not synced: some of those writes, or the end of one.
#[derive(Debug, Default)]
struct Platter {
    synced: Vec<u8>,
    now: Vec<u8>,
    /// Since the last sync.
    writes: Vec<(usize, Vec<u8>)>,
    /// Writes that it takes yet; then it is full.
    room: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Platter>>);

impl Disk {
    fn of(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Platter {
            synced: bytes.clone(),
            now: bytes,
            ..Platter::default()
        })))
    }

    /// What is left of it after a loss of power.
    fn crashed(&self, dice: &mut Dice) -> Disk {
        let platter = self.0.lock().unwrap();
        let mut left = platter.synced.clone();
        for (at, bytes) in &platter.writes {
            let kept = match dice.below(3) {
                0 => 0,
                1 => dice.below(bytes.len() as u64) as usize,
                _ => bytes.len(),
            };
            if left.len() < at + kept {
                left.resize(at + kept, 0);
            }
            left[*at..at + kept].copy_from_slice(&bytes[..kept]);
        }
        Disk::of(left)
    }

    fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().now.clone()
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let platter = self.0.lock().unwrap();
        let (from, to) = (offset as usize, offset as usize + len);
        platter
            .now
            .get(from..to)
            .map(<[u8]>::to_vec)
            .ok_or(io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut platter = self.0.lock().unwrap();
        platter.now.resize(len as usize, 0);
        // A length is kept with the next sync, or by a write behind it.
        Ok(())
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        let mut platter = self.0.lock().unwrap();
        platter.synced = platter.now.clone();
        platter.writes.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut platter = self.0.lock().unwrap();
        if let Some(room) = &mut platter.room {
            *room = room
                .checked_sub(1)
                .ok_or(io::Error::other("no space left"))?;
        }
        let (from, to) = (offset as usize, offset as usize + data.len());
        if platter.now.len() < to {
            platter.now.resize(to, 0);
        }
        platter.now[from..to].copy_from_slice(data);
        platter.writes.push((from, data.to_vec()));
        Ok(())
    }
}

fn voter(life: u64) -> Voter {
    Voter {
        name: "b0".to_string(),
        incarnation: life,
    }
}

fn open(disk: &Disk, life: u64) -> Result<(Store, Recovered), StoreError> {
    Store::open_on(disk.clone(), "g", voter(life))
}

/// One thing that a voter keeps, and what is there once it is kept.
fn draw(dice: &mut Dice, known: &Recovered) -> (Ready, Recovered) {
    let mut next = known.clone();
    let (last, mut ready) = (next.log.last_index(), Ready::default());
    let term = next.hard_state.term + dice.below(2);
    next.hard_state = HardState {
        term,
        vote: dice.happens(0.5).then(|| voter(dice.below(3))),
    };
    ready.hard_state = Some(next.hard_state.clone());
    if last > next.log.snapshot.index && dice.happens(0.2) {
        let from = next.log.snapshot.index + 1 + dice.below(last - next.log.snapshot.index);
        next.log.truncate(from);
        ready.truncate_from = Some(from);
    } else if last > next.log.snapshot.index && dice.happens(0.2) {
        let index = next.log.snapshot.index + 1 + dice.below(last - next.log.snapshot.index);
        let at = next.log.term(index).unwrap();
        let snapshot = Snapshot {
            index,
            term: at,
            voters: vec![voter(1)],
            cluster_id: 1,
            data: vec![7; 900],
        };
        next.log.compact(snapshot.clone());
        ready.snapshot = Some(snapshot);
    }
    for _ in 0..dice.below(4) {
        let payload = Payload::Command(
            (0..dice.below(2000))
                .map(|_| dice.below(256) as u8)
                .collect(),
        );
        let entry = Entry { term, payload };
        let index = next.log.push(entry.clone());
        ready.append.push(IndexedEntry { index, entry });
    }
    (ready, next)
}

fn same(a: &Recovered, b: &Recovered) -> bool {
    a.hard_state == b.hard_state && a.log == b.log
}

#[test]
fn what_was_said_to_be_kept_is_there_after_any_loss_of_power() {
    let (mut before, mut after) = (0, 0);
    for seed in 0..10 {
        let mut dice = Dice::new(seed, "store");
        let mut disk = Disk::default();
        let mut known = Recovered::default();
        for life in 0..6 {
            let (store, found) = open(&disk, life).expect("a crash leaves a store that opens");
            assert!(
                same(&found, &known),
                "seed {seed}: {found:?} in place of {known:?}"
            );
            // The life of the first start stays.
            assert_eq!(store.voter(), &voter(0));
            for _ in 0..1 + dice.below(6) {
                let (ready, next) = draw(&mut dice, &known);
                store.save(&ready).unwrap();
                known = next;
            }
            // One more is under way when the power goes: it is there whole, or not at all.
            let (ready, next) = draw(&mut dice, &known);
            let writes = dice.below(12);
            disk.0.lock().unwrap().room = Some(writes);
            let kept = store.save(&ready).is_ok();
            disk = disk.crashed(&mut dice);
            drop(store);
            let (again, found) = open(&disk, 99).expect("a crash leaves a store that opens");
            assert!(
                same(&found, &next) || !kept && same(&found, &known),
                "seed {seed}: neither of both"
            );
            match same(&found, &known) {
                true => before += 1,
                false => (after, known) = (after + 1, next),
            }
            drop(again);
        }
    }
    assert!(
        before > 5 && after > 5,
        "{before} {after}: one of the two was hardly tried"
    );
}

/// Danger: a vote or an entry that a bad sector has changed would be spoken of as if it had been promised.
#[test]
fn a_turned_bit_is_refused_with_the_way_out_or_changes_nothing() {
    let disk = Disk::default();
    let mut dice = Dice::new(1, "bits");
    let (store, mut known) = open(&disk, 0).unwrap();
    for _ in 0..12 {
        let (ready, next) = draw(&mut dice, &known);
        store.save(&ready).unwrap();
        known = next;
    }
    let mut ready = Ready::default();
    for byte in 0..8 {
        let entry = Entry {
            term: known.hard_state.term,
            payload: Payload::Command(vec![200 + byte; 300]),
        };
        let index = known.log.push(entry.clone());
        ready.append.push(IndexedEntry { index, entry });
    }
    store.save(&ready).unwrap();
    drop(store);
    let whole = disk.bytes();
    let (mut refused, mut harmless) = (0, 0);
    let used: Vec<usize> = (0..whole.len()).filter(|at| whole[*at] != 0).collect();
    // Where each entry stands, in old pages too; and anywhere.
    let places = (known.log.snapshot.index + 1..=known.log.last_index()).filter_map(|index| {
        let Payload::Command(order) = &known.log.get(index)?.payload else {
            return None;
        };
        let part = order.get(..24)?;
        Some(
            whole
                .windows(24)
                .enumerate()
                .filter(|(_, w)| w == &part)
                .map(|(at, _)| at)
                .collect(),
        )
    });
    let places: Vec<Vec<usize>> = places.collect();
    assert!(places.len() > 5, "{places:?}");
    let anywhere = (0..30).map(|_| vec![used[dice.below(used.len() as u64) as usize]]);
    for places in anywhere.chain(places.clone()).collect::<Vec<_>>() {
        let mut bytes = whole.clone();
        let at = places[0];
        places.iter().for_each(|at| bytes[*at] ^= 1 << (at % 8));
        let opened = catch_unwind(AssertUnwindSafe(|| open(&Disk::of(bytes.clone()), 5)));
        match opened {
            Ok(Ok((_, found))) if same(&found, &known) => harmless += 1,
            Ok(Err(fault)) => {
                refused += 1;
                assert!(fault.to_string().contains("memory"), "{fault}");
            }
            // The thread of the store catches that and says so.
            Err(_) => refused += 1,
            Ok(Ok((_, found))) => panic!("byte {at}: {found:?}"),
        }
    }
    assert!(
        refused >= places.len() && harmless > 10,
        "{refused} refused, {harmless} harmless"
    );
    for cut in [whole.len() / 2, whole.len() - 4096, 700] {
        let opened =
            catch_unwind(|| open(&Disk::of(whole[..cut].to_vec()), 5).map(|(_, found)| found));
        assert!(
            !matches!(opened, Ok(Ok(found)) if !same(&found, &known)),
            "cut at {cut}"
        );
    }
}

#[test]
fn another_voters_file_and_a_full_disk_are_told_by_name() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("agreement.redb");
    let (store, _) = Store::open(&path, "g", voter(1)).unwrap();
    let twice = Store::open(&path, "g", voter(2))
        .err()
        .expect("one process at a time has it open");
    assert!(twice.to_string().contains("another process"), "{twice}");
    drop(store);
    let other = Voter {
        name: "b1".to_string(),
        incarnation: 3,
    };
    let foreign = Store::open(&path, "g", other).err().expect("it is b0's");
    assert!(
        foreign.to_string().contains("b0 of g, not to b1 of g"),
        "{foreign}"
    );
    std::fs::write(&path, b"not a store at all").unwrap();
    let spoilt = Store::open(&path, "g", voter(1))
        .err()
        .expect("not a store");
    assert!(
        spoilt.to_string().contains("Move the file away"),
        "{spoilt}"
    );
    let disk = Disk::default();
    let (store, known) = open(&disk, 1).unwrap();
    disk.0.lock().unwrap().room = Some(0);
    let (ready, _) = draw(&mut Dice::new(4, "full"), &known);
    assert!(matches!(store.save(&ready), Err(StoreError::Disk { .. })));
}

//! Simulates lending between three boxes with messages that are delayed, lost or
//! duplicated, boxes that pause or restart, and work that runs for up to its maximum
//! duration. No slot may ever have two requests at a time.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_decide::slots::{HoldBack, Loan, LoanTerms, SlotPool};
use brasswinch_types::{BoxId, Incarnation, Millis, UNITS, UnitOwner, UnitTable};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const BOXES: usize = 3;
const LOAD: u32 = 9;
const TERMS: LoanTerms = LoanTerms {
    term_ms: 100,
    max_run_ms: 300,
    margin_ms: 20,
};

fn box_id(index: usize) -> BoxId {
    BoxId::new(format!("box-{index}"))
}

/// Returns a table with the units assigned to the boxes in turn.
fn round_robin_table() -> UnitTable {
    let owner = |unit: usize| {
        Some(UnitOwner {
            box_id: box_id(unit % BOXES),
            incarnation: Incarnation(1),
        })
    };
    UnitTable {
        version: 1,
        owners: (0..UNITS).map(owner).collect(),
    }
}

#[derive(Clone, Debug)]
enum Step {
    Admit(usize),
    Finish(usize),
    Request(usize, usize, u32),
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Advance(Millis),
    ReturnIdle(usize),
    Restart(usize),
    Recall(usize, usize),
}

#[derive(Clone, Debug)]
enum Message {
    Request {
        from: usize,
        to: usize,
        want: u32,
        requested_at: Millis,
        epoch: u32,
    },
    Grant {
        from: usize,
        to: usize,
        loans: Vec<Loan>,
        requested_at: Millis,
        epoch: u32,
        lender_epoch: u32,
    },
    Return {
        from: usize,
        to: usize,
        loan: Loan,
    },
}

#[derive(Debug)]
struct Work {
    owner: usize,
    epoch: u32,
    slot: u32,
    until: Millis,
}

struct Simulation {
    now: Millis,
    pools: Vec<SlotPool>,
    epochs: Vec<u32>,
    messages: Vec<Message>,
    work: Vec<Work>,
    max_concurrent: usize,
}

impl Simulation {
    fn new() -> Self {
        let table = round_robin_table();
        let pools = (0..BOXES)
            .map(|index| {
                let mut pool = SlotPool::new(box_id(index), TERMS, 1_000 * index as u64);
                pool.set_load(LOAD, TERMS, &table, HoldBack::No, 0);
                pool
            })
            .collect();
        Self {
            now: 1_000,
            pools,
            epochs: vec![1; BOXES],
            messages: Vec::new(),
            work: Vec::new(),
            max_concurrent: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Admit(index) => self.admit(index % BOXES),
            Step::Finish(index) => self.finish(index),
            Step::Request(from, to, want) => {
                let (from, to) = (from % BOXES, to % BOXES);
                if from != to {
                    let epoch = self.epochs[from];
                    let requested_at = self.now;
                    self.messages.push(Message::Request {
                        from,
                        to,
                        want,
                        requested_at,
                        epoch,
                    });
                }
            }
            Step::Deliver(index) => {
                if !self.messages.is_empty() {
                    let message = self.messages.remove(index % self.messages.len());
                    self.deliver(message);
                }
            }
            Step::Lose(index) => {
                if !self.messages.is_empty() {
                    self.messages.remove(index % self.messages.len());
                }
            }
            Step::Duplicate(index) => {
                if !self.messages.is_empty() {
                    let message = self.messages[index % self.messages.len()].clone();
                    self.messages.push(message);
                }
            }
            Step::Advance(ms) => {
                self.now += ms;
                self.end_overdue();
            }
            Step::ReturnIdle(index) => {
                let index = index % BOXES;
                let returned = self.pools[index].return_idle(false, self.now);
                for item in returned {
                    self.send_return(index, &item.lender, item.loan);
                }
            }
            Step::Restart(index) => self.restart(index % BOXES),
            Step::Recall(index, lender) => {
                let returned = self.pools[index].recall(&box_id(lender));
                for item in returned {
                    self.send_return(index, &item.lender, item.loan);
                }
            }
        }
    }

    fn admit(&mut self, owner: usize) {
        let Some(grant) = self.pools[owner].admit(self.now, |_| Some(0)) else {
            return;
        };
        self.work.push(Work {
            owner,
            epoch: self.epochs[owner],
            slot: grant.slot,
            until: self.now + TERMS.max_run_ms,
        });
        self.check();
    }

    fn finish(&mut self, index: usize) {
        if self.work.is_empty() {
            return;
        }
        let work = self.work.remove(index % self.work.len());
        self.report_finished(&work);
    }

    fn report_finished(&mut self, work: &Work) {
        if self.epochs[work.owner] != work.epoch {
            return;
        }
        if let Some(returned) = self.pools[work.owner].finish(work.slot, self.now) {
            self.send_return(work.owner, &returned.lender, returned.loan);
        }
    }

    /// Ends overdue work: upstreams stop at the deadline even if the box is paused.
    fn end_overdue(&mut self) {
        let now = self.now;
        let (over, under): (Vec<Work>, Vec<Work>) =
            self.work.drain(..).partition(|work| work.until <= now);
        self.work = under;
        for work in over {
            self.report_finished(&work);
        }
    }

    fn send_return(&mut self, from: usize, lender: &BoxId, loan: Loan) {
        let to = (0..BOXES).find(|index| box_id(*index) == *lender).unwrap();
        self.messages.push(Message::Return { from, to, loan });
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request {
                from,
                to,
                want,
                requested_at,
                epoch,
            } => {
                let loans = self.pools[to].lend(&box_id(from), want, self.now);
                let lender_epoch = self.epochs[to];
                self.messages.push(Message::Grant {
                    from: to,
                    to: from,
                    loans,
                    requested_at,
                    epoch,
                    lender_epoch,
                });
            }
            Message::Grant {
                from,
                to,
                loans,
                requested_at,
                epoch,
                lender_epoch,
            } => {
                // The daemon drops grants to or from an earlier incarnation.
                if self.epochs[to] != epoch || self.epochs[from] != lender_epoch {
                    return;
                }
                let refused = self.pools[to].borrow(&box_id(from), &loans, requested_at, self.now);
                for item in refused {
                    self.send_return(to, &item.lender, item.loan);
                }
            }
            Message::Return { from, to, loan } => {
                self.pools[to].take_back(&box_id(from), loan);
            }
        }
    }

    /// Restarts a box. Its own work ends, but its loans stay with the borrowers. The new
    /// incarnation holds its slots back, queries all peers and releases the slots that none
    /// reports as in use.
    fn restart(&mut self, index: usize) {
        self.epochs[index] += 1;
        self.work.retain(|work| work.owner != index);
        let first_loan = 1_000_000 * u64::from(self.epochs[index]) + 1_000 * index as u64;
        let mut pool = SlotPool::new(box_id(index), TERMS, first_loan);
        pool.set_load(
            LOAD,
            TERMS,
            &round_robin_table(),
            HoldBack::MaxUse,
            self.now,
        );
        let mut in_use = Vec::new();
        for other in (0..BOXES).filter(|other| *other != index) {
            in_use.extend(self.pools[other].in_use_from(&box_id(index)));
        }
        pool.release_held_back(&in_use);
        self.pools[index] = pool;
    }

    fn check(&mut self) {
        let mut slots: Vec<u32> = self.work.iter().map(|work| work.slot).collect();
        slots.sort_unstable();
        let all = slots.len();
        slots.dedup();
        assert_eq!(
            slots.len(),
            all,
            "two requests on one slot: {:?}",
            self.work
        );
        assert!(slots.iter().all(|slot| *slot < LOAD));
        self.max_concurrent = self.max_concurrent.max(all);
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..BOXES).prop_map(Step::Admit),
        3 => any::<usize>().prop_map(Step::Finish),
        4 => (0..BOXES, 0..BOXES, 1..4_u32).prop_map(|(a, b, n)| Step::Request(a, b, n)),
        7 => any::<usize>().prop_map(Step::Deliver),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => any::<usize>().prop_map(Step::Duplicate),
        3 => prop_oneof![1..40_u64, 90..130_u64, 300..500_u64].prop_map(Step::Advance),
        1 => (0..BOXES).prop_map(Step::ReturnIdle),
        1 => (0..BOXES).prop_map(Step::Restart),
        1 => (0..BOXES, 0..BOXES).prop_map(|(a, b)| Step::Recall(a, b)),
    ]
}

/// Generates the same cases in every run.
fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 3_000,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn no_slot_carries_two_requests_whatever_happens_to_messages_and_boxes(
        steps in prop::collection::vec(step(), 1..120)
    ) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(step);
        }
    }
}

#[test]
fn a_single_box_under_load_borrows_the_whole_zone() {
    let mut simulation = Simulation::new();
    for _ in 0..20 {
        simulation.admit(0);
        simulation.apply(Step::Request(0, 1, 4));
        simulation.apply(Step::Request(0, 2, 4));
        while !simulation.messages.is_empty() {
            simulation.apply(Step::Deliver(0));
        }
    }
    assert_eq!(simulation.max_concurrent, LOAD as usize);
}

#[test]
fn a_borrower_that_was_paused_past_its_term_starts_nothing() {
    let table = round_robin_table();
    let mut lender = SlotPool::new(box_id(0), TERMS, 0);
    let mut borrower = SlotPool::new(box_id(1), TERMS, 0);
    lender.set_load(LOAD, TERMS, &table, HoldBack::No, 0);
    borrower.set_load(LOAD, TERMS, &table, HoldBack::No, 0);
    let requested_at = 1_000;
    let loans = lender.lend(&box_id(1), 3, requested_at + 50);
    assert!(!loans.is_empty());
    borrower.borrow(&box_id(0), &loans, requested_at, requested_at + 60);
    let borrowed: Vec<u32> = loans.iter().map(|loan| loan.slot).collect();
    let only_borrowed = |slot: u32| borrowed.contains(&slot).then_some(0);
    let within = borrower.admit(requested_at + 99, only_borrowed);
    assert_eq!(
        within.unwrap().send_before,
        Some(requested_at + TERMS.term_ms)
    );
    assert!(
        borrower
            .admit(requested_at + TERMS.term_ms, only_borrowed)
            .is_none()
    );
}

#[test]
fn a_lender_waits_out_the_longest_run_before_it_uses_an_unreturned_slot() {
    let table = round_robin_table();
    let mut lender = SlotPool::new(box_id(0), TERMS, 0);
    lender.set_load(LOAD, TERMS, &table, HoldBack::No, 0);
    let granted_at = 1_000;
    let loans = lender.lend(&box_id(1), 1, granted_at);
    let lent = loans[0].slot;
    let only_lent = |slot: u32| (slot == lent).then_some(0);
    let last = granted_at + TERMS.max_use_ms() - 1;
    assert!(lender.admit(last, only_lent).is_none());
    assert!(lender.admit(last + 1, only_lent).is_some());
}

#[test]
fn a_leaving_lender_gets_idle_slots_back_at_once_and_busy_ones_when_they_end() {
    let table = round_robin_table();
    let mut lender = SlotPool::new(box_id(0), TERMS, 0);
    let mut borrower = SlotPool::new(box_id(1), TERMS, 0);
    lender.set_load(LOAD, TERMS, &table, HoldBack::No, 0);
    borrower.set_load(LOAD, TERMS, &table, HoldBack::No, 0);
    let loans = lender.lend(&box_id(1), 2, 0);
    assert_eq!(loans.len(), 2);
    borrower.borrow(&box_id(0), &loans, 0, 0);
    let first = loans[0].slot;
    let busy = borrower
        .admit(1, |slot| (slot == first).then_some(0))
        .unwrap();
    let returned = borrower.recall(&box_id(0));
    assert_eq!(returned.len(), 1);
    assert_eq!(returned[0].loan, loans[1]);
    let later = borrower.finish(busy.slot, 2).unwrap();
    assert_eq!(later.loan, loans[0]);
    assert!(
        borrower
            .admit(3, |slot| (slot == first).then_some(0))
            .is_none()
    );
}

#[test]
fn a_return_of_an_earlier_loan_does_not_end_the_present_one() {
    let table = round_robin_table();
    let mut lender = SlotPool::new(box_id(0), TERMS, 0);
    lender.set_load(LOAD, TERMS, &table, HoldBack::No, 0);
    let first = lender.lend(&box_id(1), 1, 0)[0];
    assert!(lender.take_back(&box_id(1), first));
    let second = lender.lend(&box_id(1), 1, 10)[0];
    assert_eq!(first.slot, second.slot);
    assert!(!lender.take_back(&box_id(1), first));
    assert!(lender.take_back(&box_id(1), second));
}

#[test]
fn a_smaller_load_stops_new_work_on_the_slots_that_fall_away() {
    let table = round_robin_table();
    let mut pool = SlotPool::new(box_id(0), TERMS, 0);
    pool.set_load(LOAD, TERMS, &table, HoldBack::No, 0);
    let before = pool.counts(0).idle;
    pool.set_load(0, TERMS, &table, HoldBack::No, 0);
    assert!(before > 0);
    assert!(pool.admit(0, |_| Some(0)).is_none());
}

//! Keeps each workspace's quota over all boxes together.
//!
//! One box counts a workspace's requests, its keeper, chosen by rendezvous among the boxes
//! that serve. A box asks the present keeper until that says that it need not. From then on it
//! tells the keeper of each request as it sends it, and nothing waits: far under its limit a
//! workspace costs a message each way and no time. Before the keeper's bucket runs empty it tells
//! all boxes that the workspace is tight. They ask before they send again, and what the bucket
//! does not hold is refused at once. A box that hears nothing from the keeper admits a part by
//! itself.
//!
//! Boxes lend the keeper their parts of a quota ([`loan`]); those of all keepers and of all boxes
//! that are alone add up to one at most. While a workspace is tight its bucket fills by what is
//! lent. What runs in any span `W` over all boxes is then at most
//!
//! ```text
//! rate * W                                all parts, whoever holds them
//!   + BURST_PART * burst                  each bucket that was full before its workspace was tight
//!   + START_PART * overage                a keeper that changed begins with that
//!   + ALONE_BURST * N                     each box that is alone, or starts
//!   + MOST_UNANSWERED * N                 requests sent before boxes heard that it is tight
//! ```
//!
//! with `overage = (rate * W + burst) * more + slack` as the bound allows. Quotas so small that the
//! slack bears two whole keepers need no loans: boxes send too seldom to lend.

mod keeper;
mod loan;
mod message;
mod part;
mod status;

use crate::fleet_size::KnownSize;
use crate::refusals::spread;
use crate::rendezvous::{object_hash, weighted_score};
use crate::workspace::QuotaLimit;
use brasswinch_types::{BoxId, Millis, Workspace};
use keeper::QuotaKeeper;
use loan::LEASE_MS;
pub use loan::QuotaLoan;
pub use message::{QuotaCount, QuotaWord};
use part::QuotaPart;
pub use status::QuotaStatus;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// How long no further box was heard of, after which a box that has started knows all: they
/// tell each other everybody at once, and a lost message is sent again within 300 ms.
const SETTLED_MS: Millis = 500;

/// What quotas may be passed by, as operators bound it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The span in which requests are counted, in seconds.
    pub window_s: f64,
    /// Part of a window's requests that may run beyond them.
    pub overage: f64,
    /// Requests in a window that may run whatever the limit.
    pub slack: f64,
}

impl QuotaBounds {
    /// Requests beyond `limit` that may run in a window.
    pub fn overage(&self, limit: QuotaLimit) -> f64 {
        self.in_window(limit) * self.overage + self.slack
    }

    /// Requests under `limit` that may run in a window.
    fn in_window(&self, limit: QuotaLimit) -> f64 {
        limit.rate_per_s * self.window_s + limit.burst
    }

    /// Whether two boxes that both keep the whole quota would pass what is allowed.
    fn needs_loans(&self, limit: QuotaLimit) -> bool {
        self.in_window(limit) > self.overage(limit)
    }
}

/// A box that serves, as quotas see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaBox {
    /// The box.
    pub id: BoxId,
    /// Where other boxes reach it.
    pub address: SocketAddr,
}

/// A message to a workspace's keeper.
#[derive(Clone, Debug, PartialEq)]
pub struct ToKeeper {
    /// Where the keeper is.
    pub address: SocketAddr,
    /// The message.
    pub count: QuotaCount,
}

/// Whether a request may be sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// It may. The keeper is told, unless it is this box.
    Send(Option<ToKeeper>),
    /// The keeper has to be asked first.
    Ask(ToKeeper),
    /// It may not.
    Refuse {
        /// When there may be room again, in milliseconds.
        retry_after_ms: Millis,
    },
}

/// All quotas as one box takes part in them.
#[derive(Debug)]
pub struct Quotas {
    me: BoxId,
    boxes: Vec<(QuotaBox, u64)>,
    /// The most boxes that were ever heard together, this one included.
    heard: usize,
    /// How many there are, whether they are heard or not.
    fleet_size: KnownSize,
    /// When this box last learned, after its start, that there are more boxes.
    grew_at: Option<Millis>,
    is_settled: bool,
    bounds: QuotaBounds,
    /// What its former life lent has lapsed then.
    lends_from: Option<Millis>,
    /// Keepers that were looked for since the boxes last changed.
    keepers: HashMap<Workspace, Option<QuotaBox>>,
    parts: HashMap<Workspace, QuotaPart>,
    kept: QuotaKeeper,
}

impl Quotas {
    /// Takes part as `me`.
    pub fn new(me: BoxId, bounds: QuotaBounds) -> Self {
        Self {
            me,
            boxes: Vec::new(),
            heard: 0,
            fleet_size: KnownSize::default(),
            grew_at: None,
            is_settled: false,
            bounds,
            lends_from: None,
            keepers: HashMap::new(),
            parts: HashMap::new(),
            kept: QuotaKeeper::new(bounds),
        }
    }

    /// Takes how many boxes the fleet has, this one included.
    pub fn set_fleet_size(&mut self, fleet_size: KnownSize) {
        self.fleet_size = fleet_size;
    }

    /// Boxes that share each quota, 1 at least.
    fn sharing_boxes(&self) -> usize {
        let boxes = match self.fleet_size {
            KnownSize::Told(boxes) => boxes,
            KnownSize::Heard | KnownSize::Awaited => self.heard,
        };
        boxes.max(1)
    }

    /// Takes the boxes that serve, this one included if it does, and how many are heard,
    /// whether they serve yet or not.
    pub fn set_boxes(&mut self, boxes: Vec<QuotaBox>, heard: usize, now: Millis) {
        self.lends_from.get_or_insert(now + LEASE_MS);
        let heard = heard.max(boxes.len());
        if heard > self.heard {
            self.grew_at = Some(now);
        }
        self.heard = self.heard.max(heard);
        let share = boxes.len() as f64 / self.sharing_boxes() as f64;
        self.kept.set_share(share);
        if self.boxes.iter().map(|(held, _)| held).eq(&boxes) {
            return;
        }
        let hashed = |held: QuotaBox| {
            let hash = object_hash("quota", held.id.as_str().as_bytes());
            (held, hash)
        };
        self.boxes = boxes.into_iter().map(hashed).collect();
        self.keepers.clear();
        let kept: Vec<Workspace> = self.kept.workspaces().cloned().collect();
        for workspace in kept {
            let is_mine = self.is_mine(&workspace);
            self.kept.set_mine(&workspace, is_mine);
        }
    }

    /// Whether this box knows which boxes there are. After its start it hears of them one by
    /// one, and would count by itself what all of them count. One that hears nobody may be cut off.
    pub fn is_settled(&mut self, now: Millis) -> bool {
        let knows_size = match self.fleet_size {
            KnownSize::Told(_) => true,
            KnownSize::Awaited => false,
            KnownSize::Heard => self.heard > 1,
        };
        let settled_at = self.grew_at.map(|grew_at| grew_at + SETTLED_MS);
        let has_met = settled_at.is_some_and(|settled_at| now >= settled_at);
        self.is_settled |= knows_size && has_met;
        self.is_settled
    }

    /// The box that counts for `workspace`; `None` while no box is known to serve.
    pub fn keeper(&mut self, workspace: &Workspace) -> Option<&QuotaBox> {
        let boxes = &self.boxes;
        let keeper = self.keepers.entry(workspace.clone()).or_insert_with(|| {
            let object = object_hash("workspace", workspace.as_str().as_bytes());
            let score = |(_, hash): &&(QuotaBox, u64)| weighted_score(object, *hash, 1.0);
            let first = boxes.iter().max_by(|a, b| score(a).total_cmp(&score(b)))?;
            Some(first.0.clone())
        });
        keeper.as_ref()
    }

    fn is_mine(&mut self, workspace: &Workspace) -> bool {
        let me = self.me.clone();
        self.keeper(workspace).is_some_and(|keeper| keeper.id == me)
    }

    /// Whether a request of `workspace` may be sent. `id` names it; `random` is from 0 to 1.
    pub fn admit(
        &mut self,
        workspace: &Workspace,
        limit: QuotaLimit,
        id: u64,
        random: f64,
        now: Millis,
    ) -> Admission {
        let even_rate = limit.rate_per_s / self.sharing_boxes() as f64;
        let is_settled = self.is_settled(now);
        let keeper = self.keeper(workspace).cloned();
        let part = self.parts.entry(workspace.clone()).or_default();
        part.set_keeper(keeper.as_ref().map(|keeper| keeper.address));
        if let Some(retry_after_ms) = part.closed_for(random, now) {
            return Admission::Refuse { retry_after_ms };
        }
        // How many others do the same isn't known at first: there is no rate to go by.
        let even_rate = if is_settled { even_rate } else { 0.0 };
        let Some(keeper) = keeper else {
            return part.unheard(even_rate, now);
        };
        if keeper.id == self.me && !is_settled {
            return part.unheard(even_rate, now);
        }
        if keeper.id == self.me {
            return self.admit_kept(workspace, keeper.address, limit, random, now);
        }
        let loan = self.lend(workspace, keeper.address, limit, now);
        let part = self.parts.entry(workspace.clone()).or_default();
        let to_keeper = ToKeeper {
            address: keeper.address,
            count: QuotaCount {
                id,
                workspace: workspace.clone(),
                runs: 1,
                // Free sending for 150 ms after each change of the keeper was 300 to 450 of
                // 2,409 runs in a window where half of 75 boxes are cut off.
                asks: part.has_to_ask(now) || !is_settled,
                turned_away: part.take_turned_away(),
                loan,
            },
        };
        if part.is_alone(now) {
            return part.alone(even_rate, Some(to_keeper), now);
        }
        part.told(now);
        if to_keeper.count.asks {
            return Admission::Ask(to_keeper);
        }
        part.sent();
        Admission::Send(Some(to_keeper))
    }

    /// This box's part of a quota, lent to the keeper at `to` where it may be.
    fn lend(
        &mut self,
        workspace: &Workspace,
        to: SocketAddr,
        limit: QuotaLimit,
        now: Millis,
    ) -> Option<QuotaLoan> {
        let may_lend = self.lends_from.is_some_and(|from| now >= from);
        if !may_lend || !self.is_settled(now) || !self.bounds.needs_loans(limit) {
            return None;
        }
        let sharing_boxes = self.sharing_boxes();
        self.parts.get_mut(workspace)?.lend(to, sharing_boxes, now)
    }

    /// Admits where this box, at `address`, is the keeper.
    fn admit_kept(
        &mut self,
        workspace: &Workspace,
        address: SocketAddr,
        limit: QuotaLimit,
        random: f64,
        now: Millis,
    ) -> Admission {
        let count = QuotaCount {
            id: 0,
            workspace: workspace.clone(),
            runs: 1,
            asks: true,
            turned_away: 0,
            loan: self.lend(workspace, address, limit, now),
        };
        let word = self.kept.count(&count, address, limit, now);
        let part = self.parts.entry(workspace.clone()).or_default();
        part.hear(&word, address, now);
        if word.is_granted {
            part.sent();
            return Admission::Send(None);
        }
        part.refused();
        Admission::Refuse {
            retry_after_ms: spread(word.retry_after_ms, random),
        }
    }

    /// Takes the answer of the keeper at `from` to a question. Says whether the request may be
    /// sent, and if not, when to come back, in milliseconds.
    pub fn answered(
        &mut self,
        word: &QuotaWord,
        from: SocketAddr,
        random: f64,
        now: Millis,
    ) -> Admission {
        let part = self.parts.entry(word.workspace.clone()).or_default();
        part.hear(word, from, now);
        if word.is_granted {
            part.sent();
            return Admission::Send(None);
        }
        part.close(random, now);
        part.refused();
        Admission::Refuse {
            retry_after_ms: spread(word.retry_after_ms, random),
        }
    }

    /// A question got no answer in time. It is asked once more where the keeper may be using this
    /// box's part; else the box goes by that.
    pub fn unanswered(
        &mut self,
        question: ToKeeper,
        limit: QuotaLimit,
        is_last: bool,
        now: Millis,
    ) -> Admission {
        let even_rate = limit.rate_per_s / self.sharing_boxes() as f64;
        let workspace = question.count.workspace.clone();
        let part = self.parts.entry(workspace).or_default();
        if part.is_lent(now) && !is_last {
            return Admission::Ask(question);
        }
        part.unheard(even_rate, now)
    }

    /// Takes a word of the box at `from` that nobody waits for. Gives the loan that it asks for: one
    /// that tells all boxes that a workspace is tight wants their parts.
    pub fn hear_word(
        &mut self,
        word: &QuotaWord,
        from: SocketAddr,
        limit: QuotaLimit,
        now: Millis,
    ) -> Option<ToKeeper> {
        let keeper = self.keeper(&word.workspace)?.address;
        let part = self.parts.entry(word.workspace.clone()).or_default();
        part.set_keeper(Some(keeper));
        part.hear(word, from, now);
        if word.id != 0 || keeper != from {
            return None;
        }
        let loan = self.lend(&word.workspace, from, limit, now)?;
        let count = QuotaCount {
            id: 0,
            workspace: word.workspace.clone(),
            runs: 0,
            asks: false,
            turned_away: 0,
            loan: Some(loan),
        };
        Some(ToKeeper {
            address: from,
            count,
        })
    }

    /// Counts what the box at `from` sends, or asks to send; `None` where this box doesn't know yet
    /// whether it is the keeper.
    pub fn hear_count(
        &mut self,
        count: &QuotaCount,
        from: SocketAddr,
        limit: QuotaLimit,
        now: Millis,
    ) -> Option<QuotaWord> {
        let is_settled = self.is_settled(now);
        is_settled.then(|| self.kept.count(count, from, limit, now))
    }

    /// A request of `workspace` ran once more (`runs` 1), or did not run (`runs` -1). Returns
    /// what its keeper has to be told.
    pub fn correct(
        &mut self,
        workspace: &Workspace,
        limit: QuotaLimit,
        runs: i32,
        now: Millis,
    ) -> Option<ToKeeper> {
        let count = QuotaCount {
            id: 0,
            workspace: workspace.clone(),
            runs,
            asks: false,
            turned_away: 0,
            loan: None,
        };
        let me = self.me.clone();
        let keeper = self.keeper(workspace)?;
        let address = keeper.address;
        if keeper.id == me {
            self.kept.count(&count, address, limit, now);
            return None;
        }
        Some(ToKeeper { address, count })
    }

    /// Looks at what time has changed; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Millis) {
        self.kept.tick(now);
    }

    /// Words that all other boxes have to be told now.
    pub fn take_words_for_all(&mut self) -> Vec<QuotaWord> {
        self.kept.take_words_for_all()
    }

    /// The other boxes.
    pub fn others(&self) -> impl Iterator<Item = SocketAddr> {
        let others = self.boxes.iter().filter(|(held, _)| held.id != self.me);
        others.map(|(held, _)| held.address)
    }

    /// Forgets workspaces that are no longer configured with a limit.
    pub fn retain(&mut self, is_limited: impl Fn(&Workspace) -> bool) {
        self.parts.retain(|workspace, _| is_limited(workspace));
        self.keepers.retain(|workspace, _| is_limited(workspace));
        self.kept.retain(is_limited);
    }

    /// What operators see, by workspace.
    pub fn status(&self, now: Millis) -> Vec<QuotaStatus> {
        let parts: BTreeMap<&Workspace, &QuotaPart> = self.parts.iter().collect();
        let status = |(workspace, part): (&Workspace, &QuotaPart)| QuotaStatus {
            workspace: workspace.clone(),
            sent: part.sent_total(),
            refused: part.refused_total(),
            is_tight: part.is_tight(),
            is_alone: part.is_alone(now),
            level: self.kept.level(workspace),
        };
        parts.into_iter().map(status).collect()
    }
}

//! Keeps each workspace's quota over all boxes together.
//!
//! One box counts a workspace's requests, its keeper, chosen by rendezvous among the boxes
//! that serve. A box asks the present keeper until that says that it need not. From then on it
//! tells the keeper of each request as it sends it, and nothing waits: far under its limit a
//! workspace costs a message each way and no time. When the keeper's bucket runs empty it tells
//! all boxes that the workspace is tight. They ask before they send again, and what the bucket
//! does not hold is refused at once. A box that hears nothing from the keeper admits an even
//! part by itself, which the keeper leaves it.
//!
//! What runs in any span `W` over all boxes is at most
//!
//! ```text
//! rate * W + burst                        the keeper's bucket
//!   + START_PART * overage                a keeper that changed begins with that
//!   + ALONE_BURST * N                     each box that starts, until it knows the others
//!   + MOST_UNANSWERED * N                 requests sent before boxes heard that it is tight
//!   + cut * (1 + ALONE_PART * rate / N * NOTICE)  boxes cut off before the keeper left them a part
//! ```
//!
//! with `overage = (rate * W + burst) * more + slack` as the bound allows, `cut` the boxes that
//! are out of the keeper's reach out of `N`, and `NOTICE` the time until the membership says so.
//! From then on the keeper fills its bucket at `rate` times the part of the boxes that it
//! reaches, and the others admit at most `ALONE_PART` of the rest.
//!
//! On the platform's days this has been seen broken: `docs/design/quotas.md` has the figures.

mod keeper;
mod message;
mod part;
mod status;

use crate::refusals::spread;
use crate::rendezvous::{object_hash, weighted_score};
use crate::workspace::QuotaLimit;
use brasswinch_types::{BoxId, Millis, Workspace};
use keeper::QuotaKeeper;
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
        (limit.rate_per_s * self.window_s + limit.burst) * self.overage + self.slack
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
    known: usize,
    /// When this box last learned, after its start, that there are more boxes.
    grew_at: Option<Millis>,
    is_settled: bool,
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
            known: 0,
            grew_at: None,
            is_settled: false,
            keepers: HashMap::new(),
            parts: HashMap::new(),
            kept: QuotaKeeper::new(bounds),
        }
    }

    /// Takes the boxes that serve, this one included if it does, and how many are heard,
    /// whether they serve yet or not.
    pub fn set_boxes(&mut self, boxes: Vec<QuotaBox>, heard: usize, now: Millis) {
        let heard = heard.max(boxes.len());
        if heard > self.known {
            self.grew_at = Some(now);
        }
        self.known = self.known.max(heard);
        let share = boxes.len() as f64 / self.known.max(1) as f64;
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
    /// one, and would count by itself what all of them count.
    pub fn is_settled(&mut self, now: Millis) -> bool {
        let settled_at = self.grew_at.map(|grew_at| grew_at + SETTLED_MS);
        self.is_settled |= settled_at.is_some_and(|settled_at| now >= settled_at);
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
        let even_rate = limit.rate_per_s / self.known.max(1) as f64;
        let is_settled = self.is_settled(now);
        let keeper = self.keeper(workspace).cloned();
        let part = self.parts.entry(workspace.clone()).or_default();
        part.set_keeper(keeper.as_ref().map(|keeper| &keeper.id));
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
            return self.admit_kept(workspace, limit, random, now);
        }
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

    /// Admits where this box is the keeper.
    fn admit_kept(
        &mut self,
        workspace: &Workspace,
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
        };
        let word = self.kept.count(&count, limit, now);
        let part = self.parts.entry(workspace.clone()).or_default();
        if word.is_granted {
            part.sent();
            return Admission::Send(None);
        }
        part.refused();
        Admission::Refuse {
            retry_after_ms: spread(word.retry_after_ms, random),
        }
    }

    /// Takes the answer to a question; `None` where none came in time. Says whether the
    /// request may be sent, and if not, when to come back, in milliseconds.
    pub fn answered(
        &mut self,
        workspace: &Workspace,
        limit: QuotaLimit,
        word: Option<&QuotaWord>,
        random: f64,
        now: Millis,
    ) -> Admission {
        let even_rate = limit.rate_per_s / self.known.max(1) as f64;
        let part = self.parts.entry(workspace.clone()).or_default();
        let Some(word) = word else {
            return part.unheard(even_rate, now);
        };
        part.hear(word);
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

    /// Takes a keeper's word that nobody waits for.
    pub fn hear_word(&mut self, word: &QuotaWord) {
        let part = self.parts.entry(word.workspace.clone()).or_default();
        part.hear(word);
    }

    /// Counts what another box sends, or asks to send; `None` where this box doesn't know yet
    /// whether it is the keeper.
    pub fn hear_count(
        &mut self,
        count: &QuotaCount,
        limit: QuotaLimit,
        now: Millis,
    ) -> Option<QuotaWord> {
        let is_settled = self.is_settled(now);
        is_settled.then(|| self.kept.count(count, limit, now))
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
        };
        let me = self.me.clone();
        let keeper = self.keeper(workspace)?;
        if keeper.id == me {
            self.kept.count(&count, limit, now);
            return None;
        }
        let address = keeper.address;
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

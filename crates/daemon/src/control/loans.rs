//! Lending and borrowing of slots between the boxes of the zone.

use super::state::Control;
use brasswinch_decide::slots::Returned;
use brasswinch_peer::{LinkId, LoanAsk, LoanGrant, LoanReturn, Message, ServiceHoldings};
use brasswinch_types::{BoxId, ServiceKey, Zone};
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Neighbours that are asked at a time.
const ASK_NEIGHBOURS: usize = 2;

impl Control {
    /// Asks the neighbours that hold this box's own slots, which give back the idle ones, and those
    /// that report most idle slots.
    pub(super) fn ask_for_loan(&mut self, service: &ServiceKey, want: u32) {
        if !self.context.settings.this_box.loans.borrow {
            return;
        }
        let tag = service.tag();
        let mut lenders: Vec<(u32, BoxId)> = self
            .neighbours_heard()
            .into_iter()
            .filter_map(|neighbour| {
                let idle = self.members.load_of(&neighbour.id, tag)?.idle;
                (idle > 0).then_some((idle, neighbour.id))
            })
            .collect();
        lenders.sort_by_key(|(idle, _)| Reverse(*idle));
        let ask = Message::LoanAsk(LoanAsk {
            service: service.clone(),
            want,
            asked_at: self.now(),
            incarnation: self.context.incarnation,
        });
        let lenders = lenders.into_iter().take(ASK_NEIGHBOURS);
        let mut asked: BTreeSet<BoxId> = lenders.map(|(_, lender)| lender).collect();
        if let Some(service) = self.context.services.get(service) {
            asked.extend(service.gate.borrowers());
        }
        for neighbour in asked {
            self.send_to(&neighbour, &ask);
        }
    }

    pub(super) fn on_loan_ask(&mut self, link: LinkId, peer: &BoxId, zone: &Zone, ask: LoanAsk) {
        if *zone != self.context.zone {
            return;
        }
        let Some(service) = self.context.services.get(&ask.service) else {
            return;
        };
        let service = Arc::clone(service);
        for returned in service.gate.recall(peer) {
            self.return_loan(ask.service.clone(), returned);
        }
        let loans = service.gate.lend(peer, ask.want);
        if loans.is_empty() {
            return;
        }
        let grant = Message::LoanGrant(LoanGrant {
            service: ask.service,
            loans,
            asked_at: ask.asked_at,
            incarnation: ask.incarnation,
            lender_incarnation: self.context.incarnation,
        });
        self.send(link, &grant);
    }

    pub(super) fn on_loan_grant(&mut self, lender: &BoxId, grant: LoanGrant) {
        let lender_now = self.members.record(lender).map(|r| r.incarnation);
        let current = grant.incarnation == self.context.incarnation
            && lender_now == Some(grant.lender_incarnation);
        if !current {
            return;
        }
        let Some(service) = self.context.services.get(&grant.service) else {
            return;
        };
        let refused = service
            .gate
            .borrow(service, lender, &grant.loans, grant.asked_at);
        for returned in refused {
            self.return_loan(grant.service.clone(), returned);
        }
    }

    pub(super) fn on_loan_return(&mut self, borrower: &BoxId, returned: LoanReturn) {
        if let Some(service) = self.context.services.get(&returned.service) {
            service.gate.take_back(service, borrower, returned.loan);
        }
    }

    pub(super) fn return_loan(&mut self, service: ServiceKey, returned: Returned) {
        let message = Message::LoanReturn(LoanReturn {
            service,
            loan: returned.loan,
        });
        self.send_to(&returned.lender, &message);
    }

    /// A neighbour is leaving: it gets its slots back at once, or when their work ends.
    pub(super) fn return_loans_of_leaver(&mut self, leaver: &BoxId) {
        let context = Arc::clone(&self.context);
        for service in context.services.values() {
            for returned in service.gate.recall(leaver) {
                self.return_loan(service.key.clone(), returned);
            }
        }
    }

    /// The lender has restarted: nothing new may start on its earlier loans.
    pub(super) fn drop_loans_from(&mut self, lender: &BoxId) {
        for service in self.context.services.values() {
            service.gate.in_use_from(lender);
        }
    }

    pub(super) fn on_holdings_ask(&mut self, link: LinkId, lender: &BoxId) {
        let holdings = self
            .context
            .services
            .values()
            .map(|service| ServiceHoldings {
                service: service.key.clone(),
                slots: service.gate.in_use_from(lender),
            })
            .filter(|holdings| !holdings.slots.is_empty())
            .collect();
        self.send(link, &Message::Holdings(holdings));
    }

    pub(super) fn on_holdings(&mut self, peer: &BoxId, holdings: Vec<ServiceHoldings>) {
        self.units.note_holdings(peer, holdings);
        self.end_hold_back_if_known();
    }
}

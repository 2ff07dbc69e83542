//! What each message from another box leads to.

use super::state::Control;
use brasswinch_decide::members::{BoxRecord, BoxState, RecordMerge};
use brasswinch_observe::{Event, emit};
use brasswinch_peer::{Hello, LinkId, Message, PROTOCOL_VERSION, TicketAnswer};
use brasswinch_types::BoxId;

impl Control {
    pub(super) fn on_message(&mut self, link: LinkId, message: Message) {
        let now = self.now();
        if let Some(state) = self.links.links.get_mut(&link) {
            state.heard_at = now;
        }
        if let Message::Hello(hello) = message {
            self.on_hello(link, hello);
            return;
        }
        let Some((peer, zone)) = self.links.links.get(&link).and_then(|l| l.peer.clone()) else {
            return;
        };
        match message {
            Message::Hello(_) => {}
            Message::Heartbeat(heartbeat) => self.on_heartbeat_of(link, &peer, &zone, heartbeat),
            Message::Records(records) => self.on_records(records, Some(link)),
            Message::ConfigHeld(held) => {
                let missing = self.config.keeper.missing_from(&held);
                self.send(link, &Message::Config(missing));
            }
            Message::ConfigNews(news) => self.on_config_news(link, &news),
            Message::ConfigWanted(keys) => self.on_config_wanted(link, &keys),
            Message::Config(entries) => {
                // A peer that knows nothing itself tells nothing.
                self.config.known |= !entries.is_empty();
                self.merge_config(entries, Some(link));
            }
            Message::Units(table) if zone == self.context.zone => self.adopt_units(table),
            Message::Units(_) => {}
            Message::LoanAsk(ask) => self.on_loan_ask(link, &peer, &zone, ask),
            Message::LoanGrant(grant) => self.on_loan_grant(&peer, grant),
            Message::LoanReturn(returned) => self.on_loan_return(&peer, returned),
            Message::HoldingsAsk => self.on_holdings_ask(link, &peer),
            Message::Holdings(holdings) => self.on_holdings(&peer, holdings),
            Message::SharesAsk => {
                let shares = self.shares_in_use();
                self.send(link, &Message::Shares(shares));
            }
            Message::Shares(shares) => self.on_shares(&peer, shares),
            Message::TicketQuestion(question) => {
                let voided = self.void_ticket(&question.ticket);
                let answer = TicketAnswer {
                    question: question.question,
                    voided,
                };
                self.send(link, &Message::TicketAnswer(answer));
            }
            Message::TicketAnswer(answer) => {
                if let Some(waiting) = self.questions.remove(&answer.question) {
                    let _ = waiting.send(answer.voided);
                }
            }
        }
    }

    pub(super) fn on_hello(&mut self, link: LinkId, hello: Hello) {
        if hello.version != PROTOCOL_VERSION {
            emit(
                Event::PeerVersion,
                format_args!("{} speaks {}", hello.record.id, hello.version),
            );
            self.links.links.remove(&link);
            return;
        }
        let record = hello.record;
        let (id, zone, incarnation) = (record.id.clone(), record.zone.clone(), record.incarnation);
        if id == self.context.id {
            self.links.links.remove(&link);
            return;
        }
        let before = self.members.record(&id).map(|record| record.incarnation);
        if before.is_some_and(|before| before != incarnation) {
            self.drop_loans_from(&id);
        }
        if let Some(state) = self.links.links.get_mut(&link) {
            state.peer = Some((id.clone(), zone.clone()));
            state.interval_ms = hello.interval_ms;
        }
        let now = self.now();
        self.on_records(vec![record], Some(link));
        self.members
            .record_heartbeat(&id, incarnation, hello.interval_ms, now);
        emit(Event::PeerUp, format_args!("{id} in {zone}"));
        self.links.report_all_next();
        let mut known: Vec<BoxRecord> = self.members.records().cloned().collect();
        known.push(self.record.clone());
        self.send(link, &Message::Records(known));
        self.send(link, &Message::ConfigHeld(self.config.keeper.held()));
        if zone == self.context.zone {
            self.send(link, &Message::Units(self.units.table.clone()));
            if self.units.is_holding_back() {
                self.send(link, &Message::HoldingsAsk);
            }
        }
        if self.record.state == BoxState::Starting {
            self.send(link, &Message::SharesAsk);
        }
    }

    pub(super) fn on_records(&mut self, records: Vec<BoxRecord>, from: Option<LinkId>) {
        let mut newer = Vec::new();
        for record in records {
            if self.members.merge(record.clone()) == RecordMerge::Newer {
                newer.push(record);
            }
        }
        if newer.is_empty() {
            return;
        }
        self.publish();
        let leavers = newer.iter().filter(|r| r.state == BoxState::Leaving);
        let leavers: Vec<BoxId> = leavers.map(|record| record.id.clone()).collect();
        for leaver in leavers {
            self.return_loans_of_leaver(&leaver);
        }
        self.broadcast_except(&Message::Records(newer), from);
    }
}

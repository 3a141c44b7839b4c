//! Origins of streams: records, questions of entries, and copies between cores.

use std::net::SocketAddr;

use crate::core::{Core, Event, address_of};
use crate::frame::{Frame, OriginsFoundExtension, Trailing};
use crate::origin::copy::{Page, PageRequest, SERVICE_TIME};
use crate::origin::{Origin, Stream};

impl Core {
    pub(crate) fn record_origins(&mut self, acknowledge_to: Option<SocketAddr>, new: &[Origin]) {
        new.iter().for_each(|it| self.origins.record(self.now, it));
        self.report_lost_origins();
        if let Some(to) = acknowledge_to {
            self.send(to, Frame::OriginsRecorded);
        }
    }

    /// Answers an entry that looks for streams, or another core that copies the table.
    pub(crate) fn find_origins(
        &mut self,
        from: SocketAddr,
        streams: Vec<Stream>,
        copy: Option<PageRequest>,
    ) {
        let is_copied = |it: &Stream| self.origins.is_copied(*it);
        let copied = streams.iter().copied().filter(is_copied).collect();
        let findings = streams.into_iter().map(|it| self.origins.find(self.now, it)).collect();
        let page = copy.map(|request| Box::new(self.build_page(request)));
        if page.as_ref().is_some_and(|it| it.next.is_some()) {
            self.origins_served_until = self.now + SERVICE_TIME;
        }
        let extension = Trailing(OriginsFoundExtension { copied, page: Trailing(page) });
        let local_address = self.link.local_peer().address;
        self.send(from, Frame::OriginsFound { from: local_address, findings, extension });
    }

    fn build_page(&self, request: PageRequest) -> Page {
        let (origins, next) = self.origins.page(self.now, request.after);
        let complete_ms = self.origins.complete_ms(self.now);
        let incarnation = self.link.local_peer().incarnation;
        let cores = self.origin_copier.known_cores();
        Page { request, incarnation, origins, next, complete_ms, cores }
    }

    /// Adds a part of another core's table.
    pub(crate) fn handle_origins_page(&mut self, from: SocketAddr, page: &Page) {
        let own = self.link.local_peer().address;
        self.origin_copier.learn_cores(self.now, own, page.cores.iter().copied());
        let question = self.origin_copier.handle_page(self.now, from, page, &mut self.origins);
        if let Some((to, request)) = question {
            self.ask_for_page(to, request);
        }
        self.report_lost_origins();
    }

    /// Asks the other cores for their tables after a start, and ends the copy once it is complete.
    pub(crate) fn copy_origins(&mut self) {
        if !self.origin_copier.is_due(self.now) {
            return;
        }
        let own = self.link.local_peer().address;
        let voters = self.replica.voters().members();
        let mut cores: Vec<SocketAddr> =
            voters.filter_map(|voter| address_of(&voter.instance)).collect();
        let listed = if self.is_leading() { &self.core_addresses } else { &self.link.view().cores };
        cores.extend(listed);
        self.origin_copier.learn_cores(self.now, own, cores);
        for (to, request) in self.origin_copier.questions(self.now) {
            self.ask_for_page(to, request);
        }
        if let Some(outcome) = self.origin_copier.finish(self.now, &mut self.origins) {
            self.emit(Event::OriginsCopied(outcome));
        }
    }

    fn ask_for_page(&mut self, to: SocketAddr, request: PageRequest) {
        let from = self.link.local_peer().address;
        let copy = Trailing(Some(request));
        self.send(to, Frame::FindOrigins { from, streams: Vec::new(), copy });
    }

    fn report_lost_origins(&mut self) {
        if let Some(count) = self.origins.take_loss(self.now) {
            self.emit(Event::OriginsLost { count });
        }
    }
}

//! Loads that are replayed.

/// A region of the modelled fleet: its zones, its part of the callers and of the upstreams.
#[derive(Clone, Copy, Debug)]
pub struct RegionShape {
    /// The region.
    pub name: &'static str,
    /// Its part of the upstreams, of 1.
    pub upstreams: f64,
}

/// Three regions that ask alike: a third of the callers lives next to a tenth of the
/// upstreams.
pub const REGIONS: [RegionShape; 3] = [
    RegionShape {
        name: "west",
        upstreams: 0.1,
    },
    RegionShape {
        name: "north",
        upstreams: 0.41,
    },
    RegionShape {
        name: "south",
        upstreams: 0.49,
    },
];

/// Zones of each region.
pub(super) const ZONES: usize = 3;

/// Something that befalls the fleet. Times are in seconds from the first request.
#[derive(Clone, Copy, Debug)]
pub enum Disturbance {
    /// Callers everywhere ask `factor` times as often.
    Burst {
        /// From when.
        at_s: f64,
        /// How long.
        for_s: f64,
        /// How often.
        factor: f64,
    },
    /// A part of one region's callers ask from another region's boxes.
    CallersMove {
        /// From when.
        at_s: f64,
        /// How long.
        for_s: f64,
        /// Their part.
        part: f64,
        /// From which of [`REGIONS`].
        from: usize,
        /// To which.
        to: usize,
    },
    /// Boxes are started again, one after the other, and have forgotten what they knew.
    BoxesRestart {
        /// From when.
        at_s: f64,
        /// How long until the last one.
        for_s: f64,
        /// Their part.
        part: f64,
    },
    /// The upstreams of a region's first zone are started again: cold, knowing no object.
    ColdZone {
        /// When.
        at_s: f64,
        /// In which of [`REGIONS`].
        region: usize,
    },
}

/// Workspaces that send equally many requests, except the first.
#[derive(Clone, Copy, Debug)]
pub struct WorkspaceLoads {
    /// Number of workspaces.
    pub count: usize,
    /// Requests of the first one, as a multiple of those of each other.
    pub first_factor: f64,
    /// Whether boxes know the workspace of a request.
    pub are_known: bool,
}

impl WorkspaceLoads {
    /// Returns all requests as a multiple of those with `first_factor` 1.
    pub(super) fn load_factor(&self) -> f64 {
        self.weight() / self.count as f64
    }

    /// Returns the workspace of a request; `random` is drawn from 0 to 1.
    pub(super) fn draw(&self, random: f64) -> usize {
        let drawn = random * self.weight() - self.first_factor;
        if drawn < 0.0 {
            return 0;
        }
        (1 + drawn as usize).min(self.count - 1)
    }

    fn weight(&self) -> f64 {
        self.first_factor + self.count as f64 - 1.0
    }
}

/// Machines whose speed changes, each shared by several upstreams.
#[derive(Clone, Copy, Debug)]
pub struct SpeedChanges {
    /// Upstreams on each machine.
    pub per_machine: usize,
    /// Duration of work on a slow machine, in percent of the usual one.
    pub slow_percent: u32,
    /// Fraction of the time in which a machine is slow.
    pub slow_fraction: f64,
    /// Mean length of a slow period, in milliseconds.
    pub slow_ms: f64,
    /// Whether upstreams report the duration of their work.
    pub are_reported: bool,
}

impl SpeedChanges {
    /// Returns the mean length of a period, in milliseconds.
    pub(super) fn mean_ms(&self, is_slow: bool) -> f64 {
        if is_slow {
            return self.slow_ms;
        }
        self.slow_ms * (1.0 - self.slow_fraction) / self.slow_fraction
    }
}

/// A load and the fleet that it falls on.
#[derive(Clone, Debug)]
pub struct LoadPattern {
    /// Its name.
    pub name: &'static str,
    /// Boxes, in all.
    pub boxes: usize,
    /// Upstreams, in all.
    pub upstreams: usize,
    /// Requests a second for each upstream.
    pub per_upstream: f64,
    /// Objects for each upstream.
    pub objects_per_upstream: f64,
    /// How long callers ask, in seconds.
    pub length_s: f64,
    /// What befalls the fleet.
    pub disturbances: Vec<Disturbance>,
    /// The workspaces that requests belong to; `None` for requests without workspaces.
    pub workspaces: Option<WorkspaceLoads>,
    /// How the speed of upstreams changes; `None` if it doesn't.
    pub speeds: Option<SpeedChanges>,
}

impl LoadPattern {
    /// The same load for each upstream, on a fleet of another size.
    pub fn with_boxes(&self, boxes: usize) -> Self {
        Self {
            boxes,
            upstreams: boxes * 2,
            ..self.clone()
        }
    }
}

/// The loads that decisions are compared on, for a fleet of `boxes`.
pub fn patterns(boxes: usize) -> Vec<LoadPattern> {
    let calm = LoadPattern {
        name: "calm",
        boxes,
        upstreams: boxes * 2,
        per_upstream: 3.0,
        objects_per_upstream: 10.0,
        length_s: 20.0,
        disturbances: Vec::new(),
        workspaces: None,
        speeds: None,
    };
    let with = |name, per_upstream, disturbances| LoadPattern {
        name,
        per_upstream,
        disturbances,
        ..calm.clone()
    };
    let burst = Disturbance::Burst {
        at_s: 8.0,
        for_s: 3.0,
        factor: 1.7,
    };
    let callers_move = Disturbance::CallersMove {
        at_s: 8.0,
        for_s: 6.0,
        part: 0.8,
        from: 1,
        to: 0,
    };
    let cold_zone = Disturbance::ColdZone {
        at_s: 8.0,
        region: 2,
    };
    let restart = Disturbance::BoxesRestart {
        at_s: 6.0,
        for_s: 8.0,
        part: 1.0,
    };
    let speed_changes = LoadPattern {
        name: "speed-changes",
        per_upstream: 4.8,
        speeds: Some(SpeedChanges {
            per_machine: 4,
            slow_percent: 250,
            slow_fraction: 0.15,
            slow_ms: 600.0,
            are_reported: true,
        }),
        ..calm.clone()
    };
    vec![
        calm.clone(),
        with("full", 4.8, vec![]),
        with("overfull", 6.5, vec![]),
        with("burst", 4.0, vec![burst]),
        with("callers-move", 4.0, vec![callers_move]),
        with("cold-zone", 4.0, vec![cold_zone]),
        with("restarts", 4.0, vec![restart]),
        speed_changes,
    ]
}

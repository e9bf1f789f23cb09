//! Numbered log events.

macro_rules! events {
    ($($number:literal $name:ident $text:literal)*) => {
        /// The kind of a log line; its number is the field `event` of the line.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum Event {
            $(#[doc = $text] $name = $number,)*
        }

        impl Event {
            /// All events in ascending order of their numbers.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Returns the name of the event.
            pub fn name(self) -> &'static str {
                match self { $(Event::$name => stringify!($name),)* }
            }

            /// Returns a one-sentence description of the event.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    100 Started "The program has started and accepts connections."
    101 Stopping "The program is shutting down and finishes the requests in progress."
    102 Stopped "The program exits."
    103 Settings "The settings were loaded."
    104 Fault "An unexpected error occurred."
    105 Reloaded "The settings were reloaded."
    106 LinesDropped "Log lines were dropped to limit the log rate."
    200 Routed "A request was routed to an endpoint."
    201 Refused "A request was refused."
    202 Answered "A request was answered completely."
    203 Retried "An idempotent request is retried on another endpoint."
    204 Cancelled "The caller disconnected and the request was cancelled."
    205 Forwarded "A request was forwarded to the gate that owns its endpoint."
    206 Replayed "A recorded answer was returned for a key that was used before."
    207 AnswerRejected "An endpoint's answer belongs to another request, adapter or version."
    208 Denied "The scheduler denied a request an engine."
    209 Unscheduled "A gate chose an engine without the scheduler because no leader answered."
    210 AnswerBroken "An answer was cut off after its head was sent to the caller."
    211 AttemptFailed "An attempt to send a request to an endpoint failed."
    212 Waiting "A request waits for an engine, an adapter slot or a leader."
    300 Placed "An adapter was scheduled for loading on an endpoint."
    301 Loaded "An adapter was loaded."
    302 LoadFailed "The load of an adapter failed."
    303 Evicted "An adapter was evicted."
    304 LoadDeferred "The load of an adapter waits for a permit or for a slot."
    400 Announced "An endpoint announced itself for the first time or with a new generation."
    401 EndpointSilent "An endpoint stopped announcing itself and receives no new requests."
    402 EndpointCrashed "An endpoint crashed with requests in progress."
    403 Owned "The gate became the owner of an endpoint."
    404 Disowned "The gate is no longer the owner of an endpoint."
    405 EndpointLeaves "An endpoint announced its departure and receives no new requests."
    406 EndpointSuspected "An endpoint failed requests and temporarily receives no new ones."
    407 EndpointTrusted "A suspected endpoint answered and receives requests again."
    408 LinkUp "A connection to another node was opened."
    409 LinkDown "A connection to another node was lost."
    410 Ordered "An order was sent to an engine."
    411 Inspected "The state of an engine was read."
    500 LeaseGranted "The gate obtained its lease."
    501 LeaseLost "The gate lost its lease and accepts no new requests."
    502 LeaseExpired "The leader ended the lease of a gate."
    503 ConfigurationApplied "A revision of the configuration was applied."
    504 ConfigurationInForce "A revision of the configuration is in force on every gate."
    505 PlanApplied "A plan was applied."
    506 PlanRefused "A plan was rejected."
    507 VersionNamed "A version of an adapter was activated."
    600 LeaderElected "A keeper became leader."
    601 LeaderLost "A keeper is no longer leader."
    602 LearnerAdded "A new replica joined as a learner."
    603 VoterAdded "A replica became a voter."
    604 VoterRemoved "A voter was removed."
    605 SnapshotTaken "A snapshot was written and the log was truncated."
    606 SnapshotInstalled "A snapshot from the leader was installed."
    607 LogTornTail "An incomplete record at the end of the log was removed."
    608 LogDamaged "The log is corrupt before its end; the replica rejoins as a learner."
    609 JoinRequested "A replica requested to join the group."
    610 LeaderFollowed "A gate or keeper switched to another leader."
    611 DiskFailed "The files of a replica could not be written or opened."
    612 ElectionStarted "A keeper requests votes."
    613 ReplicaDelayed "The task of a replica ran late or waited long for a write."
    614 SchedulerDelayed "A pass of the scheduler took longer than a heartbeat interval."
    615 OrdersHeld "A new leader waits for the end of a lease before it orders engines."
    620 ToleranceNotMet "A leader has fewer voters than the stated fault tolerance requires."
    700 KeyClaimed "A non-idempotent request was claimed in the journal."
    701 KeyFinished "The answer of a non-idempotent request was recorded."
    702 KeyReleased "A claim was released because the request did not run."
    703 Implicated "A request was in progress when its endpoint crashed."
    704 RequestQuarantined "A request was quarantined."
    800 Commanded "An operator's command was accepted or refused."
    900 FaultInjected "A stub injected a fault."
    901 Violation "A stub observed a protocol violation."
}

impl Event {
    /// Returns the number of the event.
    pub fn number(self) -> u16 {
        self as u16
    }
}

/// Writes a log line for an event: `event!(INFO, Event::Routed, request = %id, "…")`.
#[macro_export]
macro_rules! event {
    ($level:ident, $event:expr $(, $($rest:tt)*)?) => {
        $crate::tracing::event!(
            $crate::tracing::Level::$level,
            event = $event.number(),
            name = $event.name()
            $(, $($rest)*)?
        )
    };
}

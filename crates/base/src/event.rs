//! Numbered log events.

use tracing::Metadata;

/// The class of a log line; each class has its own queue and its own share of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A decision about a single request, adapter or order; there are many of them.
    Request,
    /// A change of the process's view of the cell, such as the leader, the members, the configuration or
    /// the endpoints. Such lines are rare and explain those about requests.
    State,
}

impl Class {
    /// Returns the name of the class.
    pub const fn name(self) -> &'static str {
        match self {
            Class::Request => "request",
            Class::State => "state",
        }
    }

    /// Returns the class of a line that was written by `event!`.
    pub(crate) fn of(metadata: &Metadata<'_>) -> Option<Class> {
        [Class::Request, Class::State].into_iter().find(|class| class.name() == metadata.name())
    }
}

macro_rules! events {
    ($($number:literal $name:ident $class:ident $text:literal)*) => {
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

            /// Returns the class of the event.
            pub const fn class(self) -> Class {
                match self { $(Event::$name => Class::$class,)* }
            }

            /// Returns a one-sentence description of the event.
            pub fn text(self) -> &'static str {
                match self { $(Event::$name => $text,)* }
            }
        }
    };
}

events! {
    100 Started State "The program has started and accepts connections."
    101 Stopping State "The program is shutting down and finishes the requests in progress."
    102 Stopped State "The program exits."
    103 Settings State "The settings were loaded."
    104 Fault State "An unexpected error occurred."
    105 Reloaded State "The settings were reloaded."
    106 LinesDropped State "Log lines were dropped to limit the log rate."
    200 Routed Request "A request was routed to an endpoint."
    201 Refused Request "A request was refused."
    202 Answered Request "A request was answered completely."
    203 Retried Request "An idempotent request is retried on another endpoint."
    204 Cancelled Request "The caller disconnected and the request was cancelled."
    205 Forwarded Request "A request was forwarded to the gate that owns its endpoint."
    206 Replayed Request "A recorded answer was returned for a key that was used before."
    207 AnswerRejected Request "An endpoint's answer belongs to another request, adapter or version."
    208 Denied Request "The scheduler denied a request an engine."
    209 Unscheduled Request "A gate chose an engine without the scheduler because no leader answered."
    210 AnswerBroken Request "An answer was cut off after its head was sent to the caller."
    211 AttemptFailed Request "An attempt to send a request to an endpoint failed."
    212 Waiting Request "A request waits for an engine, an adapter slot or a leader."
    213 OriginLocated Request "The software version that began a resumed stream was looked up."
    214 AttemptAbandoned Request "A gate no longer waits for the response of an endpoint, which may still run the request."
    215 LimitReached Request "A request was not sent to an endpoint that has reached the limit on its request rate."
    216 GrantDeclined Request "A gate declined the engine that the scheduler chose, because the engine leaves or has asked for a pause."
    217 Tunnelled Request "An endpoint that was reached through another gate responded to a request."
    220 CallPlaced Request "The leader chose the endpoint for a call to a plain service."
    221 Unauthorized Request "A request was refused because its API key is missing, malformed or unknown."
    222 ShareExceeded Request "A request was refused because its tenant has received more than its fair share of what is scarce."
    223 CallDenied Request "The leader refused a call to a plain service, because it cannot be served in time."
    224 PlacementUnanswered Request "The leader did not answer in time, so the gate chooses the endpoints of plain services itself for a while."
    300 Placed Request "An adapter was scheduled for loading on an endpoint."
    301 Loaded Request "An adapter was loaded."
    302 LoadFailed Request "The load of an adapter failed."
    303 Evicted Request "An adapter was evicted."
    304 LoadDeferred Request "The load of an adapter waits for a permit or for a slot."
    305 StreamPaused Request "A stream paused for longer than its route tolerates."
    400 Announced State "An endpoint announced itself for the first time or with a new generation."
    401 EndpointSilent State "An endpoint stopped announcing itself and receives no new requests."
    402 EndpointCrashed State "An endpoint crashed with requests in progress."
    403 Owned State "The gate became the owner of an endpoint."
    404 Disowned State "The gate is no longer the owner of an endpoint."
    405 EndpointLeaves State "An endpoint announced its departure and receives no new requests."
    406 EndpointSuspected State "An endpoint failed requests and temporarily receives no new ones."
    407 EndpointTrusted State "A suspected endpoint answered and receives requests again."
    408 LinkUp State "A connection to another node was opened."
    409 LinkDown State "A connection to another node was lost."
    410 Ordered Request "An order was sent to an engine."
    411 Inspected Request "The state of an engine was read."
    412 LimitChanged State "An endpoint named, changed or lifted a limit on its request rate."
    413 EndpointPaused Request "An endpoint refused a request and asked this gate for a pause."
    414 PathLost State "A gate reaches no endpoint and opens its connections through other gates."
    415 PathRestored State "A gate reaches endpoints again."
    416 TunnelRequested Request "Another gate requested a connection to an endpoint from this gate."
    417 TunnelEnded Request "A connection that this gate forwarded for another gate failed."
    418 LossAttributed Request "The loss of a request does not count against its engine, because its gate reaches no engine."
    419 DepartureApplied State "The departure of an endpoint was committed; it is used no more, whichever keeper leads."
    420 DepartureNotDurable State "The departure of an endpoint was acknowledged without a commit, because members of an earlier release can't apply it."
    500 LeaseGranted State "The gate obtained its lease."
    501 LeaseLost State "The gate lost its lease and accepts no new requests."
    502 LeaseExpired State "The leader ended the lease of a gate."
    503 ConfigurationApplied State "A revision of the configuration was applied."
    504 ConfigurationInForce State "A revision of the configuration is in force on every gate."
    505 PlanApplied State "A plan was applied."
    506 PlanRefused State "A plan was rejected."
    507 VersionNamed State "A version of an adapter was activated."
    508 PlanDeferred State "A plan with tenants was not committed, because members of an earlier release can't apply it."
    600 LeaderElected State "A keeper became leader."
    601 LeaderLost State "A keeper is no longer leader."
    602 LearnerAdded State "A new replica joined as a learner."
    603 VoterAdded State "A replica became a voter."
    604 VoterRemoved State "A voter was removed."
    605 SnapshotTaken State "A snapshot was written and the log was truncated."
    606 SnapshotInstalled State "A snapshot from the leader was installed."
    607 LogTornTail State "An incomplete record at the end of the log was removed."
    608 LogDamaged State "The log is corrupt before its end; the replica rejoins as a learner."
    609 JoinRequested State "A replica requested to join the group."
    610 LeaderFollowed State "A gate or keeper switched to another leader."
    611 DiskFailed State "The files of a replica could not be written or opened."
    612 ElectionStarted State "A keeper requests votes."
    613 ReplicaDelayed State "The task of a replica ran late or waited long for a write."
    614 SchedulerDelayed State "A pass of the scheduler took longer than a heartbeat interval."
    615 OrdersHeld State "A new leader waits for the end of a lease before it orders engines."
    616 MainThreadStalled State "The main thread of a keeper does not respond, so its replica gives up the lead."
    617 MainThreadResumed State "The main thread of a keeper responds again."
    618 LevelRaised State "All members support a later revision of the log."
    620 ToleranceNotMet State "A leader has fewer voters than the stated fault tolerance requires."
    624 LogFull State "A change was not accepted, because the log in memory is full of changes that are not committed."
    625 ObjectTooLarge State "An entry or snapshot was not accepted, because it is larger than the memory of the host allows."
    626 TransferDamaged State "An entry or snapshot that was received in parts is damaged; its transfer begins again."
    627 DiskRecovered State "The files of a replica can be written again after an error."
    700 KeyClaimed Request "A non-idempotent request was claimed in the journal."
    701 KeyFinished Request "The answer of a non-idempotent request was recorded."
    702 KeyReleased Request "A claim was released because the request did not run."
    703 Implicated Request "A request was in progress when its endpoint crashed."
    704 RequestQuarantined State "A request or a part of prompts was quarantined."
    705 QuarantineHit Request "A request was refused because it or a part of its prompt is quarantined."
    706 QuarantineApplied State "The replicated quarantine changed."
    707 QuarantineProbe State "A single request with a quarantined subject was admitted as a probe."
    708 LossDismissed Request "The loss of an endpoint under a request was not counted, because the endpoint had left as planned."
    709 EndpointProbed Request "A gate opened a connection to an endpoint that may have crashed."
    720 QuotaRefused Request "A request was refused because of its tenant's quota."
    721 QuotaRestored State "A new leader knows what tenants have spent of their quotas."
    722 QuotaDeputy State "A gate reserves quota with a keeper that does not lead, because none does."
    800 Commanded State "An operator's command was accepted or refused."
    900 FaultInjected Request "A stub injected a fault."
    901 Violation State "A stub observed a protocol violation."
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
        match $event.class() {
            $crate::Class::Request => {
                $crate::event!(@Request, $level, $event $(, $($rest)*)?)
            }
            $crate::Class::State => $crate::event!(@State, $level, $event $(, $($rest)*)?),
        }
    };
    // The log derives the class from the name in the static metadata, which is not part of the line.
    (@$class:ident, $level:ident, $event:expr $(, $($rest:tt)*)?) => {
        $crate::tracing::event!(
            name: $crate::Class::$class.name(),
            $crate::tracing::Level::$level,
            event = $event.number(),
            name = $event.name()
            $(, $($rest)*)?
        )
    };
}

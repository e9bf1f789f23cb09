//! Numbered result codes of refused requests and commands.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a refused request may have run on an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the request reached an endpoint.
    No,
    /// The request may have run.
    Unknown,
}

macro_rules! codes {
    ($($number:literal $name:ident $status:literal $ran:ident $text:literal)*) => {
        /// The reason for refusing a request or a command.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(into = "u16", try_from = "u16")]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $text] $name = $number,)*
        }

        impl Code {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the name of the code.
            pub fn name(self) -> &'static str {
                match self { $(Code::$name => stringify!($name),)* }
            }

            /// Returns the HTTP status of a response with the code.
            pub fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns whether a request refused with this code may have run.
            pub fn ran(self) -> Ran {
                match self { $(Code::$name => Ran::$ran,)* }
            }

            /// Returns a one-sentence description of the code.
            pub fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    1000 BadRequest 400 No "The request cannot be parsed."
    1001 TooLarge 413 No "The body is larger than the limit."
    1002 UnknownPath 404 No "No resource has this path."
    1003 WrongMethod 405 No "The resource does not allow this method."
    1004 BadHeader 400 No "A header has a value that cannot be parsed."
    1005 Unauthorized 401 No "The token is missing or wrong."
    1006 BadModel 400 No "The model is neither ADAPTER nor ADAPTER@VERSION."
    1100 UnknownAdapter 404 No "No adapter has this name."
    1101 UnknownVersion 404 No "The adapter has no such version."
    1102 NoDefaultVersion 409 No "The adapter has no default version and the request names none."
    1103 NeverLoaded 403 No "An exception forbids loading the adapter."
    1104 UnknownService 404 No "No service of this kind is configured."
    1200 KeyRequired 400 No "A non-idempotent call needs an Idempotency-Key."
    1201 KeyReused 422 No "The key was used with another body."
    1202 KeyInProgress 409 Unknown "A request with this key is in progress."
    1203 OutcomeUnknown 409 Unknown "The request with this key may have run and its answer is lost."
    1204 KeyExpired 409 Unknown "The key is older than the retention of its record."
    1205 JournalFull 503 No "The journal takes no new keys now."
    1206 AnswerTooLarge 409 Unknown "The request with this key ran; its answer was too large to keep."
    1300 NotServing 503 No "This gate holds no lease and takes no requests; use another address."
    1301 Draining 503 No "This gate is stopping; use another address."
    1302 NoEndpoint 503 No "No endpoint can take the request now."
    1303 QueueFull 503 No "The queue for the adapter or service is full."
    1304 DeadlineExceeded 504 No "The deadline passed before the request was sent to an endpoint."
    1305 DeadlineUnreachable 503 No "The request cannot start before its deadline."
    1306 LoadFailed 503 No "The adapter could not be loaded."
    1307 CallerLimit 429 No "The caller is over its limit."
    1308 OwnerUnreachable 503 No "The owner of the endpoint cannot be reached."
    1309 RetryBudget 503 No "The budget for retries is spent."
    1310 UnknownOrigin 503 No "No node knows which software version began the stream that the request resumes."
    1311 BuildUnavailable 503 No "No endpoint with the software version that began the stream accepts requests."
    1312 LimitReached 503 No "The endpoints have reached the limits on their request rates that they named."
    1313 EndpointsPaused 503 No "All endpoints that could take the request have asked for a pause."
    1314 BodyMemory 503 No "The gate has no memory left for the body of the request."
    1315 QuotaExceeded 429 No "The tenant has used its quota."
    1316 QuotaTooLarge 429 No "The request is larger than the quota of its tenant."
    1400 Quarantined 422 No "The request, or a part of its prompt, crashed endpoints and is quarantined."
    1401 Suspected 503 No "The request was in progress at endpoints that crashed; it waits for a verdict."
    1500 EndpointFailed 502 Unknown "The endpoint failed while it ran the request."
    1501 EndpointTimeout 504 Unknown "The endpoint did not answer before the deadline."
    1502 WrongAnswer 502 Unknown "The endpoint answered for another request, adapter or version."
    1503 ShortAnswer 502 Unknown "The answer ended before its end mark."
    1504 OwnerLost 502 Unknown "The owner of the endpoint was lost while it ran the request."
    1505 GateStopped 504 Unknown "The gate stopped before the endpoint answered."
    1600 Conflict 409 No "The configuration has another revision than the command expects."
    1601 CommandReused 422 No "The command id was used with other content."
    1602 Exists 409 No "The object exists already."
    1603 InUse 409 No "The object is in use by another object."
    1604 ReasonRequired 400 No "An exception needs a reason."
    1605 Invalid 400 No "The command has a value that is not allowed."
    1606 UnknownObject 404 No "The command names an object that does not exist."
    1700 NoLeader 503 No "The keepers have no leader now."
    1701 Lost 503 Unknown "The command may have been committed; send it again with the same id."
    1702 StaleLease 409 No "The lease of the sender has ended."
    1703 StaleFence 409 No "The fencing number is older than the one in force."
    1900 Internal 500 Unknown "An unexpected fault; the log has the details."
}

impl Code {
    /// Returns the number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> u16 {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = String;

    fn try_from(number: u16) -> Result<Code, String> {
        let found = Code::ALL.iter().find(|code| code.number() == number);
        found.copied().ok_or_else(|| format!("no result code has the number {number}"))
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}: {}", self.number(), self.name(), self.text())
    }
}

//! Replicated log core: a deterministic Raft state machine without I/O.
//!
//! A cell is a group of VMs that replicate one log. [`Node`] is the state machine of one of them.
//! [`Node::step`] takes one [`Event`] and returns the [`Action`]s that the caller, the I/O shell,
//! performs in order. The shell writes and syncs an [`Action::Persist`] before it performs the
//! actions after it, except those that [`Action::may_precede_sync`] allows earlier. Once the actions
//! of a step with a Persist are performed, the shell reports [`Event::Synced`]. It may pass further
//! events to the node before that. For a short time a leader buffers new proposals and commit
//! advances until the report, so that they share the next sync.
//!
//! # Examples
//!
//! A cell with a single voter commits a command:
//!
//! ```
//! use zinnia_raft::Action;
//! use zinnia_raft::Data;
//! use zinnia_raft::Event;
//! use zinnia_raft::Member;
//! use zinnia_raft::Members;
//! use zinnia_raft::Node;
//! use zinnia_raft::Proposal;
//! use zinnia_raft::RecoveredState;
//! use zinnia_raft::Settings;
//! use zinnia_raft::Snapshot;
//! use zinnia_types::Time;
//! use zinnia_types::VmId;
//!
//! let id = VmId(1);
//! let voter = Member {
//!     id,
//!     peer: "10.0.0.1:7000".to_owned(),
//!     http: String::new(),
//!     voter: true,
//! };
//! let recovered = RecoveredState {
//!     snapshot: Some(Snapshot::initial(Members::from(vec![voter]))),
//!     ..RecoveredState::default()
//! };
//! let settings = Settings {
//!     id,
//!     ..Settings::default()
//! };
//! let mut node = Node::new(settings, recovered);
//! let mut committed = Vec::new();
//! // Performs actions and reports syncs until no actions remain.
//! let mut drive = |node: &mut Node, event, now| {
//!     let mut actions = node.step(event, now);
//!     while !actions.is_empty() {
//!         let mut synced = None;
//!         for action in actions {
//!             match action {
//!                 // A real shell writes to its store and syncs here.
//!                 Action::Persist { entries, .. } => {
//!                     let last = entries.last().map(|e| e.index);
//!                     synced = last.or(synced).or(Some(0));
//!                 }
//!                 Action::Committed { proposal_id, .. } => committed.push(proposal_id),
//!                 _ => {}
//!             }
//!         }
//!         actions = match synced {
//!             Some(index) => node.step(Event::Synced { index }, now),
//!             None => Vec::new(),
//!         };
//!     }
//! };
//! drive(&mut node, Event::Tick, Time(0));
//! drive(&mut node, Event::Tick, Time(4_000));
//! let data = Data::from("{}");
//! drive(&mut node, Event::Propose(vec![Proposal { proposal_id: 7, data }]), Time(4_001));
//! assert_eq!(committed, [7]);
//! ```

mod action;
mod change;
mod data;
mod election;
mod entry;
mod event;
mod follower;
mod leader;
mod log;
mod member;
mod message;
mod node;
mod output;
mod progress;
mod settings;
#[cfg(feature = "sim")]
pub mod sim;
mod snapshot;
mod transfer;

pub use action::Action;
pub use action::RejectReason;
pub use action::Role;
pub use data::Data;
pub use entry::Entry;
pub use entry::HardState;
pub use entry::Payload;
pub use entry::RecoveredState;
pub use event::Event;
pub use event::Proposal;
pub use member::Member;
pub use member::Members;
pub use member::MembershipChange;
pub use message::AppendEntries;
pub use message::Message;
pub use message::SnapshotChunk;
pub use node::Node;
pub use progress::PeerStatus;
pub use settings::Settings;
pub use snapshot::Snapshot;

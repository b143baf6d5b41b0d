//! Guards the evaluation of alert rules against transitions that are lost,
//! repeated or emitted before they are durable.

mod accept;
mod disturbed;
mod simulation;

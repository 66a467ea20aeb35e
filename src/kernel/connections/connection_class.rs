/// The listener group of a connection. Each group has connections of its own, so that callers cannot take those
/// of operators or of other entry processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionClass {
    /// Connections of callers.
    Caller,
    /// Connections of operators and of readiness checks.
    Operator,
    /// Connections of other entry processes.
    Peer,
}

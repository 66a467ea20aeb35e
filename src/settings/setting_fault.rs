/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error, miette::Diagnostic)]
#[display("{text}")]
#[diagnostic(
    code(godwithaven::settings),
    help("each flag has a variable, flags win; see godwithaven-entry --help")
)]
pub struct SettingFault {
    /// What is wrong, one sentence a line.
    pub text: String,
}

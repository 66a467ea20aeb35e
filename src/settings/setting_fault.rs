/// Invalid settings or arguments, or another reason why the process cannot start.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error, miette::Diagnostic)]
#[display("{text}")]
#[diagnostic(
    code(godwithaven::settings),
    help("each flag has a variable, flags win; see godwithaven-entry --help")
)]
pub struct SettingFault {
    /// One line for each problem.
    pub text: String,
}

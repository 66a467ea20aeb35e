//! Parses operators' pages and runs the commands in them.

use std::fs;
use std::path::Path;
use std::time::Duration;

use awc::Client;
use awc::http::Method;

use crate::fixture::Platform;

/// Longest time to repeat a command that only reads until it prints what the page shows.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Prefixes of commands that only read, so that they can be repeated until the platform has settled.
const READ_ONLY_COMMANDS: [&str; 9] = [
    "cat",
    "grep",
    "godwithaven status",
    "godwithaven fleet",
    "godwithaven teams",
    "godwithaven zones",
    "godwithaven endpoints",
    "godwithaven explain",
    "godwithaven bundle show",
];

/// Addresses in the pages: the log, the VM list, callers' and operators' addresses of each entry process.
const PAGE_ADDRESSES: [&str; 8] = [
    "127.0.0.1:7070",
    "127.0.0.1:7071",
    "127.0.0.1:8080",
    "127.0.0.1:8082",
    "127.0.0.1:8180",
    "127.0.0.1:8182",
    "127.0.0.1:8280",
    "127.0.0.1:8282",
];
/// Indices of the columns of `status` that change with time: age of the bundle and offset in the log.
const VARYING_STATUS_COLUMNS: [usize; 2] = [4, 5];
/// Fields of log lines that differ from run to run.
const VARYING_LOG_FIELDS: [&str; 2] = ["time_ms", "token"];

/// A block of a page.
pub enum PageBlock {
    /// A line that is neither run nor written to a file.
    Text(String),
    /// A file to write before the commands after it.
    File {
        /// Name of the file.
        name: String,
        /// Content of the file.
        text: String,
    },
    /// A command and its output.
    Command {
        /// Shell line, without the prompt.
        line: String,
        /// Output in the page; each line ends with a line feed.
        output: String,
    },
}

/// A page as a list of blocks, which make up its whole text.
pub struct ShellPage {
    /// The blocks in the order of the page.
    pub blocks: Vec<PageBlock>,
}

impl ShellPage {
    /// Splits the Markdown text of a page into blocks.
    pub fn parse(text: &str) -> Self {
        let mut blocks = Vec::new();
        let mut fence = None;
        for line in text.split_inclusive('\n') {
            let trimmed = line.trim_end();
            if fence.is_some() && trimmed == "```" {
                fence = None;
                blocks.push(PageBlock::Text(line.to_owned()));
            } else if let Some(info) = trimmed.strip_prefix("```").filter(|_| fence.is_none()) {
                fence = Some(info.to_owned());
                blocks.push(PageBlock::Text(line.to_owned()));
                if let Some(name) = info.strip_prefix("toml ") {
                    blocks.push(PageBlock::File { name: name.to_owned(), text: String::new() });
                }
            } else if let Some(command) =
                line.strip_prefix("$ ").filter(|_| fence.as_deref() == Some("console"))
            {
                let line = command.trim_end().to_owned();
                blocks.push(PageBlock::Command { line, output: String::new() });
            } else {
                match blocks.last_mut() {
                    Some(PageBlock::File { text, .. }) if fence.is_some() => *text += line,
                    Some(PageBlock::Command { output, .. }) if fence.is_some() => *output += line,
                    _ => blocks.push(PageBlock::Text(line.to_owned())),
                }
            }
        }
        Self { blocks }
    }

    /// Returns the Markdown text of the page.
    pub fn render(&self) -> String {
        let text = |block: &PageBlock| match block {
            PageBlock::Text(text) | PageBlock::File { text, .. } => text.clone(),
            PageBlock::Command { line, output } => format!("$ {line}\n{output}"),
        };
        self.blocks.iter().map(text).collect()
    }
}

/// Runs a command of a page and returns its output. Addresses of the page are replaced by those of the
/// platform in the command, and the other way round in the output. A command that only reads is repeated
/// until its output matches `expected`, or for three seconds without an expected output.
pub async fn run(platform: &mut Platform, line: &str, expected: Option<&String>) -> String {
    if line == "standin ready" {
        make_ready(platform).await;
        return String::new();
    }
    if let Some(arguments) = line.strip_prefix("standin ") {
        platform.run_standin_command(arguments).await;
        return String::new();
    }
    let addresses = addresses(platform);
    let actual = addresses.iter().fold(line.to_owned(), |line, (page, real)| line.replace(page, real));
    if let Some((arguments, file)) = actual.strip_suffix(" &").and_then(|line| line.split_once(" > ")) {
        let (path, arguments) = (platform.dir.join(file), arguments.replacen("curl ", "", 1));
        actix_rt::spawn(async move { fs::write(path, fetch(&arguments).await) });
        return String::new();
    }
    let is_fetch = line.starts_with("curl ") && !line.contains(" -d ");
    let is_read = is_fetch || READ_ONLY_COMMANDS.iter().any(|prefix| line.starts_with(prefix));
    let deadline = tokio::time::Instant::now()
        + if expected.is_some() { SETTLE_TIMEOUT } else { Duration::from_secs(3) };
    loop {
        let printed = if let Some(arguments) = actual.strip_prefix("curl ") {
            let (arguments, filter) = arguments.split_once(" | ").unwrap_or((arguments, ""));
            let answer = fetch(arguments).await;
            if filter.is_empty() {
                answer
            } else {
                platform.write("answer", &answer);
                platform.shell(&format!("{filter} < answer")).await.stdout
            }
        } else {
            let printed = platform.shell(&actual).await;
            format!("{}{}", printed.stdout, printed.stderr)
        };
        // Addresses of the platform may be longer than those of the page, so padding keeps the column widths.
        let padded = |page: &str, real: &str| format!("{page:width$} ", width = real.len());
        let shown = |text: String, (page, real): &(&str, String)| {
            text.replace(&format!("{real} "), &padded(page, real)).replace(real, page)
        };
        let printed = addresses.iter().fold(printed, shown);
        let matches = expected.is_some_and(|expected| masked(line, &printed) == masked(line, expected));
        // A request refused as not run can be retried, as callers do while a service has no owner yet.
        let can_repeat = is_read || printed.contains("\"run\":\"not_run\"");
        if !can_repeat || matches || tokio::time::Instant::now() > deadline {
            return printed;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Returns the output with placeholders for what differs from run to run: addresses outside the pages,
/// digests, incarnations of processes, names of workers, padding, times and offsets, and the values of
/// `/metrics`.
pub fn masked(line: &str, output: &str) -> String {
    // Of a metric that a page selects with a filter, only whether it is 0 is compared.
    let mask_zero = line.contains("/metrics").then_some(!line.contains(" | "));
    let mut words: Vec<String> = Vec::new();
    for text in output.lines() {
        for (index, word) in text.split_whitespace().enumerate() {
            let varies = line.starts_with("godwithaven status") && VARYING_STATUS_COLUMNS.contains(&index);
            let number = word.trim_end_matches('s').parse::<f64>();
            match (number, mask_zero) {
                (Ok(_), _) if varies => words.push("NUMBER".to_owned()),
                (Ok(value), Some(mask_zero)) if mask_zero || value != 0.0 => words.push("NUMBER".to_owned()),
                _ => words.push(mask_word(word)),
            }
        }
        words.push("\n".to_owned());
    }
    words.join(" ")
}

/// Replaces a word that differs from run to run, or the part of it that does, by a placeholder.
fn mask_word(word: &str) -> String {
    let is_hex = |part: &str| part.len() >= 16 && part.bytes().all(|byte| byte.is_ascii_hexdigit());
    let word = word.trim_end_matches(',');
    if word.starts_with("127.0.0.1:") && !PAGE_ADDRESSES.iter().any(|known| word.starts_with(known)) {
        return "ADDRESS".to_owned();
    }
    if word.split(['.', '"', ':']).any(is_hex) {
        let parts = word.split_inclusive(['.', '"', ':']);
        let shown =
            parts.map(|part| if is_hex(part.trim_end_matches(['.', '"', ':'])) { "HEX" } else { part });
        return shown.collect();
    }
    if let Some((field, _)) = word.split_once('=').filter(|(field, _)| VARYING_LOG_FIELDS.contains(field)) {
        return format!("{field}=NUMBER");
    }
    if word.trim_start_matches("vm=\"").starts_with("worker-") {
        return "WORKER".to_owned();
    }
    // Attempts of a job accepted before its shard was claimed are numbered from the claim's fencing token.
    if let Some((task, attempt)) = word.split_once('@') {
        return format!("{task}@ATTEMPT{}", attempt.trim_start_matches(|digit: char| digit.is_ascii_digit()));
    }
    word.to_owned()
}

/// Publishes the bundle of the page `first-start.md` and waits until both entry processes are ready, all
/// workers were heard and the endpoints are known.
async fn make_ready(platform: &Platform) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operations/first-start.md");
    for block in ShellPage::parse(&fs::read_to_string(path).unwrap()).blocks {
        if let PageBlock::File { name, text } = block {
            platform.write(&name, &text);
        }
    }
    let publish = "godwithaven bundle sign bundle.toml --key signing.key && \
                   godwithaven bundle publish bundle.signed.json --log $LOG";
    assert_eq!(platform.shell(publish).await.exit_code, 0);
    platform.wait_for("godwithaven fleet", "4/4").await;
    platform.wait_for("godwithaven status | grep -c yes", "2").await;
    platform.wait_for("godwithaven endpoints", "planner-1").await;
}

/// Pairs the addresses in the pages with those of the platform.
fn addresses(platform: &Platform) -> Vec<(&'static str, String)> {
    let fixed = [platform.world.log.address, platform.world.directory.address];
    let entries = platform.entries.iter().flat_map(|vm| [vm.listen, vm.operator_listen]);
    let real = fixed.into_iter().chain(entries).map(|address| address.to_string());
    PAGE_ADDRESSES.into_iter().zip(real).collect()
}

/// Does what `curl -s [-H HEADER]... [-X METHOD] [-d BODY] ADDRESS` does, so that the tests do not depend on
/// `curl`. The returned body ends with a line feed.
async fn fetch(arguments: &str) -> String {
    let words = split_words(arguments);
    let mut words = words.iter();
    let (mut url, mut headers, mut body) = (String::new(), Vec::new(), None);
    let mut method = Method::GET;
    while let Some(word) = words.next() {
        match word.as_str() {
            "-s" => {}
            "-H" => headers.push(words.next().unwrap().split_once(": ").unwrap()),
            "-d" => body = words.next().cloned(),
            "-X" => method = words.next().unwrap().parse().unwrap(),
            address => url = format!("http://{address}"),
        }
    }
    let client = Client::builder().timeout(3 * SETTLE_TIMEOUT).finish();
    let request = client.request(if body.is_some() { Method::POST } else { method }, url);
    let request = headers.into_iter().fold(request, awc::ClientRequest::insert_header);
    let mut response = request.send_body(body.unwrap_or_default()).await.unwrap();
    let text = String::from_utf8(response.body().await.unwrap().to_vec()).unwrap();
    if text.ends_with('\n') { text } else { text + "\n" }
}

/// Splits a shell line at blanks outside single quotes, and drops the quotes.
fn split_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quoted = false;
    for letter in line.chars() {
        match letter {
            '\'' => quoted = !quoted,
            ' ' if !quoted => words.push(String::new()),
            letter => words.last_mut().unwrap().push(letter),
        }
    }
    words
}

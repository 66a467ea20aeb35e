//! The operators' command.

fn main() {
    println!("godwithaven {}", env!("CARGO_PKG_VERSION"));
}

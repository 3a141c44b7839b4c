//! The common derives of verbenaslip's own types, so that each type names its set once.
//!
//! `#[data]` stands for clone, debug, equality and serialization. Words in brackets add to or take
//! from that set: `copy`, `ord`, `hash`, `default`, and `float` for a type that holds floating
//! point numbers and so has no total equality. A crate that uses it depends on `serde`.

use proc_macro::TokenStream;

/// Derives the common set of traits, changed by the words in brackets.
///
/// # Panics
///
/// Panics at compile time when a word is not one of `copy`, `ord`, `hash`, `default`, `float`.
#[proc_macro_attribute]
pub fn data(options: TokenStream, item: TokenStream) -> TokenStream {
    let mut traits =
        vec!["Clone", "Debug", "PartialEq", "Eq", "::serde::Serialize", "::serde::Deserialize"];
    for option in options.to_string().split(',').map(str::trim).filter(|option| !option.is_empty())
    {
        match option {
            "copy" => traits.push("Copy"),
            "ord" => traits.extend(["PartialOrd", "Ord"]),
            "hash" => traits.push("Hash"),
            "default" => traits.push("Default"),
            "float" => traits.retain(|name| *name != "Eq"),
            other => panic!("`{other}` is no derive set: use copy, ord, hash, default or float"),
        }
    }
    let mut output: TokenStream =
        format!("#[derive({})]", traits.join(", ")).parse().expect("derive list is valid tokens");
    output.extend(item);
    output
}

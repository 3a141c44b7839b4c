//! The `#[data]` attribute, which derives the common traits of verbenaslip's types.
//!
//! `#[data]` derives `Clone`, `Debug`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`. Options in
//! parentheses change this set: `copy`, `ord`, `hash` and `default` add traits, and `float` removes
//! `Eq` for a type that holds floating-point numbers. A crate that uses the attribute must depend
//! on `serde`.

use proc_macro::TokenStream;

/// Derives the common set of traits, changed by the options in parentheses.
///
/// # Panics
///
/// Panics at compile time when an option is not one of `copy`, `ord`, `hash`, `default`, `float`.
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
            other => panic!("unknown option `{other}`: use copy, ord, hash, default or float"),
        }
    }
    let mut output: TokenStream =
        format!("#[derive({})]", traits.join(", ")).parse().expect("derive list is valid tokens");
    output.extend(item);
    output
}

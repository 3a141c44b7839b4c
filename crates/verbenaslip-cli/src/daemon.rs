//! `verbenaslipd`: one instance as a process.

//! A library that is loaded into a node with `LD_PRELOAD` and makes its system calls fail or transfer less
//! than was asked for. Environment variables say how many of a hundred calls are affected; a variable that is
//! missing means none.
//!
//! | variable | effect |
//! | --- | --- |
//! | `FAULT_SEED` | seed of the random choices |
//! | `FAULT_SHORT_READS` | a read of a socket transfers a random part of what it could |
//! | `FAULT_SHORT_WRITES` | a write to a socket transfers a random part of what it could |
//! | `FAULT_INTERRUPTED_WAITS` | a wait for events ends with `EINTR` |
//! | `FAULT_FAILED_ACCEPTS` | accepting a connection fails with `ECONNABORTED`, `ENFILE` or `ENOBUFS` |
//! | `FAULT_FAILED_CONNECTS` | connecting fails with `EADDRNOTAVAIL`, `ENETUNREACH` or `ENOBUFS` |
//! | `FAULT_FAILED_SOCKETS` | opening a socket fails with `ENFILE`, `ENOBUFS` or `ENOMEM` |
//! | `FAULT_STORAGE_FILE` | while a file of this name exists, writes, syncs and renames fail: `ENOSPC`, `EIO` |
//! | `FAULT_CLOCK_FILE` | a file with the number of seconds by which the wall clock is off at present |
#![allow(unsafe_code, missing_docs)]

use std::ffi::CStr;
use std::mem::transmute;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};

/// Increment of the SplitMix64 generator.
const SEED_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

static RANDOM_STATE: AtomicU64 = AtomicU64::new(0);

/// Returns the next random number, by SplitMix64.
fn random() -> u64 {
    let mut z = RANDOM_STATE.fetch_add(SEED_INCREMENT, Ordering::Relaxed).wrapping_add(SEED_INCREMENT);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// How many of a hundred calls of each kind are affected.
struct Percentages {
    short_reads: u64,
    short_writes: u64,
    interrupted_waits: u64,
    failed_accepts: u64,
    failed_connects: u64,
    failed_sockets: u64,
}

fn number(variable: &CStr) -> u64 {
    // SAFETY: the name is a valid C string, and nothing in the node changes the environment.
    let value = unsafe { libc::getenv(variable.as_ptr()) };
    if value.is_null() {
        return 0;
    }
    // SAFETY: `getenv` returned a valid C string.
    let text = unsafe { CStr::from_ptr(value) };
    text.to_str().ok().and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn percentages() -> &'static Percentages {
    static PERCENTAGES: OnceLock<Percentages> = OnceLock::new();
    PERCENTAGES.get_or_init(|| {
        RANDOM_STATE.store(number(c"FAULT_SEED"), Ordering::Relaxed);
        Percentages {
            short_reads: number(c"FAULT_SHORT_READS"),
            short_writes: number(c"FAULT_SHORT_WRITES"),
            interrupted_waits: number(c"FAULT_INTERRUPTED_WAITS"),
            failed_accepts: number(c"FAULT_FAILED_ACCEPTS"),
            failed_connects: number(c"FAULT_FAILED_CONNECTS"),
            failed_sockets: number(c"FAULT_FAILED_SOCKETS"),
        }
    })
}

/// Returns whether a call is affected, of which `percentage` of a hundred are.
fn strikes(percentage: u64) -> bool {
    percentage > 0 && random() % 100 < percentage
}

/// Returns the length that a call transfers: a random part of `length` if the call is affected.
fn transferred(length: size_t, percentage: u64) -> size_t {
    match length > 1 && strikes(percentage) {
        true => 1 + (random() as size_t) % (length - 1),
        false => length,
    }
}

/// Sets `errno` to one of these and returns the result of a call that fails.
fn fail(errors: &[c_int]) -> c_int {
    let error = errors[random() as usize % errors.len()];
    // SAFETY: the location of `errno` is valid for the thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// Returns the address of the next definition of a function behind this library's.
macro_rules! next_address {
    ($name:literal) => {{
        static ADDRESS: OnceLock<usize> = OnceLock::new();
        *ADDRESS.get_or_init(|| find_next($name))
    }};
}

fn find_next(name: &CStr) -> usize {
    // SAFETY: the name is a valid C string.
    unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    let is_peek = flags & libc::MSG_PEEK != 0;
    let length = if is_peek { length } else { shortened_read(socket, length) };
    // SAFETY: the C library has a function of this type, and the length is at most the caller's.
    unsafe { transmute::<usize, Recv>(next_address!(c"recv"))(socket, buffer, length, flags) }
}

/// Returns how much of `length` a read of the socket transfers, if the call is affected less than what the
/// socket has.
fn shortened_read(socket: c_int, length: size_t) -> size_t {
    let percentage = percentages().short_reads;
    if percentage == 0 {
        return length;
    }
    let mut unread: c_int = 0;
    // SAFETY: the request writes one integer.
    let result = unsafe { libc::ioctl(socket, libc::FIONREAD, &mut unread) };
    match result == 0 && unread > 0 {
        true => transferred(length.min(unread as size_t), percentage),
        false => length,
    }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    let length = transferred(length, percentages().short_writes);
    // SAFETY: the C library has a function of this type, and the length is at most the caller's.
    unsafe { transmute::<usize, Send>(next_address!(c"send"))(socket, buffer, length, flags) }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(file: c_int, buffers: *const libc::iovec, count: c_int) -> ssize_t {
    type Writev = unsafe extern "C" fn(c_int, *const libc::iovec, c_int) -> ssize_t;
    if count > 0 && strikes(percentages().short_writes) {
        // SAFETY: the caller passes at least one buffer.
        let first = unsafe { *buffers };
        let part = libc::iovec { iov_base: first.iov_base, iov_len: transferred(first.iov_len, 100) };
        // SAFETY: the C library has a function of this type, and the buffer is a part of the caller's.
        return unsafe { transmute::<usize, Writev>(next_address!(c"writev"))(file, &part, 1) };
    }
    // SAFETY: the C library has a function of this type, and the arguments are the caller's.
    unsafe { transmute::<usize, Writev>(next_address!(c"writev"))(file, buffers, count) }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    epoll: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    type EpollWait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
    if strikes(percentages().interrupted_waits) {
        return fail(&[libc::EINTR]);
    }
    // SAFETY: the C library has a function of this type, and the arguments are the caller's.
    unsafe { transmute::<usize, EpollWait>(next_address!(c"epoll_wait"))(epoll, events, max_events, timeout) }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    socket: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    if strikes(percentages().failed_accepts) {
        return fail(&[libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS]);
    }
    // SAFETY: the C library has a function of this type, and the arguments are the caller's.
    unsafe { transmute::<usize, Accept4>(next_address!(c"accept4"))(socket, address, length, flags) }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    if strikes(percentages().failed_connects) {
        return fail(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS]);
    }
    // SAFETY: the C library has a function of this type, and the arguments are the caller's.
    unsafe { transmute::<usize, Connect>(next_address!(c"connect"))(socket, address, length) }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    if domain == libc::AF_INET && strikes(percentages().failed_sockets) {
        return fail(&[libc::ENFILE, libc::ENOBUFS, libc::ENOMEM]);
    }
    // SAFETY: the C library has a function of this type, and the arguments are the caller's.
    unsafe { transmute::<usize, Socket>(next_address!(c"socket"))(domain, kind, protocol) }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    type ClockGettime = unsafe extern "C" fn(libc::clockid_t, *mut libc::timespec) -> c_int;
    // SAFETY: the C library has a function of this type, and the arguments are the caller's.
    let result = unsafe { transmute::<usize, ClockGettime>(next_address!(c"clock_gettime"))(clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the call has succeeded, so it has written the time.
        unsafe { (*time).tv_sec += wall_clock_offset_seconds() };
    }
    result
}

/// Returns whether storage fails at present.
fn storage_fails() -> bool {
    // SAFETY: the name is a valid C string, and nothing in the node changes the environment.
    let path = unsafe { libc::getenv(c"FAULT_STORAGE_FILE".as_ptr()) };
    // SAFETY: `getenv` returned a valid C string.
    !path.is_null() && unsafe { libc::access(path, libc::F_OK) } == 0
}

/// Returns whether a descriptor is a regular file.
fn is_regular_file(file: c_int) -> bool {
    // SAFETY: all bit patterns are valid for the structure, which the call fills in.
    let mut status: libc::stat = unsafe { std::mem::zeroed() };
    // SAFETY: the structure is valid for writes.
    unsafe { libc::fstat(file, &mut status) == 0 && status.st_mode & libc::S_IFMT == libc::S_IFREG }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
    if storage_fails() && is_regular_file(file) {
        return fail(&[libc::ENOSPC, libc::EIO]) as ssize_t;
    }
    // SAFETY: the C library has a function of this type, and the arguments are the caller's.
    unsafe { transmute::<usize, Write>(next_address!(c"write"))(file, buffer, length) }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    type Fsync = unsafe extern "C" fn(c_int) -> c_int;
    if storage_fails() {
        return fail(&[libc::ENOSPC, libc::EIO]);
    }
    // SAFETY: the C library has a function of this type, and the arguments are the caller's.
    unsafe { transmute::<usize, Fsync>(next_address!(c"fsync"))(file) }
}

/// # Safety
///
/// As for the function of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn rename(from: *const libc::c_char, to: *const libc::c_char) -> c_int {
    type Rename = unsafe extern "C" fn(*const libc::c_char, *const libc::c_char) -> c_int;
    if storage_fails() {
        return fail(&[libc::ENOSPC, libc::EIO]);
    }
    // SAFETY: the C library has a function of this type, and the arguments are the caller's.
    unsafe { transmute::<usize, Rename>(next_address!(c"rename"))(from, to) }
}

/// Reads the number of seconds by which the wall clock is off. Uses system calls that don't need the time.
fn wall_clock_offset_seconds() -> i64 {
    // SAFETY: the name is a valid C string, and nothing in the node changes the environment.
    let path = unsafe { libc::getenv(c"FAULT_CLOCK_FILE".as_ptr()) };
    if path.is_null() {
        return 0;
    }
    let mut text = [0_u8; 32];
    // SAFETY: the path is a valid C string, and the buffer has the length that is passed.
    let length = unsafe {
        let file = libc::open(path, libc::O_RDONLY | libc::O_CLOEXEC);
        let length = libc::read(file, text.as_mut_ptr().cast(), text.len());
        libc::close(file);
        length
    };
    let text = text.get(..length.max(0) as usize).and_then(|text| std::str::from_utf8(text).ok());
    text.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

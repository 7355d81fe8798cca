//! Unit tests of body buffers and their memory reservations.

use super::*;

#[test]
fn a_buffer_stays_within_its_reservation_and_releases_the_unused_part() {
    for (piece_bytes, length) in
        [(1, None), (5_000, None), (8 << 10, None), (20_000, Some(50_000)), (7, Some(7))]
    {
        let total_bytes = 1 << 20;
        let budget = Rc::new(BufferBudget { available: Cell::new(total_bytes) });
        let size = length.map_or_else(SizeHint::new, SizeHint::with_exact);
        let reserved_bytes = length.map_or(MAX_BUFFERED_BODY_BYTES, |length| length as usize);
        let mut buffer = BodyBuffer::new(budget.reserve(&size).unwrap());
        while buffer.push(Bytes::from(vec![0; piece_bytes])).is_ok() {
            let capacity = buffer.bytes.capacity();
            assert!(capacity <= reserved_bytes, "{capacity} of {reserved_bytes}");
        }
        assert!(buffer.bytes.len() + piece_bytes > reserved_bytes);
        let capacity = buffer.bytes.capacity();
        let (bytes, reservation) = buffer.freeze();
        assert_eq!(budget.available.get(), total_bytes - capacity);
        assert!(bytes.len() <= capacity && capacity <= (2 * bytes.len()).min(reserved_bytes));
        drop(reservation);
        assert_eq!(budget.available.get(), total_bytes);
    }
}

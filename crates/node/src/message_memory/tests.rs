//! What a pool grants, and when it gets it back.

use std::time::Duration;

use tokio::time::timeout;

use super::*;

/// Longer than a reservation takes that need not wait.
const MOMENT: Duration = Duration::from_millis(20);

#[tokio::test]
async fn what_is_reserved_is_not_there_for_others_until_it_is_given_back() {
    let pool = MemoryPool::new(64 << 10);
    let mut first = pool.reserve(40 << 10).await;
    assert!(pool.try_reserve(25 << 10).is_none());
    assert!(timeout(MOMENT, pool.reserve(25 << 10)).await.is_err(), "it waits");
    first.shrink_to(39 << 10);
    let second = pool.try_reserve(25 << 10).expect("there is enough now");
    drop((first, second));
    assert!(pool.try_reserve(64 << 10).is_some());
}

#[tokio::test]
async fn more_than_the_pool_has_is_all_of_it() {
    let pool = MemoryPool::new(10 << 10);
    let all = timeout(MOMENT, pool.reserve(1 << 20)).await.expect("it does not wait for ever");
    assert!(pool.try_reserve(1).is_none());
    drop(all);
    assert!(pool.try_reserve(1).is_some());
}

#[tokio::test]
async fn a_reservation_lasts_as_long_as_any_handle_to_its_bytes() {
    let pool = MemoryPool::new(8 << 10);
    let bytes = pool.reserve(8 << 10).await.hold_for(vec![b'x'; 8 << 10]);
    let part = bytes.slice(..1);
    drop(bytes);
    assert!(pool.try_reserve(1).is_none(), "a part of the bytes keeps all of them");
    drop(part);
    assert!(pool.try_reserve(8 << 10).is_some());
}

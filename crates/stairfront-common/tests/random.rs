//! The numbers of a seed are part of every pinned simulation: they must not change with a library or a refactoring.
use stairfront_common::random::SeededRng;

#[test]
fn the_numbers_of_a_seed_do_not_change() {
    let mut rng = SeededRng::new(7);
    let drawn = (
        rng.below(1000_i64),
        rng.below(1000_usize),
        rng.below(1000_u64),
        rng.number(),
    );
    assert_eq!(drawn, (55, 172, 717, 7_880_630_202_246_103_356));
}

#[test]
fn parts_of_one_run_draw_different_numbers() {
    let number = |part| SeededRng::for_part(7, part).number();
    assert_ne!(number("client"), number("origin"));
    assert_eq!(number("client"), number("client"));
}

#[test]
fn bounds_that_hold_nothing_give_zero() {
    let mut rng = SeededRng::new(7);
    assert_eq!(
        (rng.below(0_u64), rng.below(-5_i64), rng.below(0_usize)),
        (0, 0, 0)
    );
    assert!(!rng.happens(0.0));
}

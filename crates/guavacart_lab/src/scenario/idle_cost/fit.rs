//! Least-squares fit of a line.

/// Returns the slope of the least-squares line through `points`; 0 if all points have the same x.
pub(super) fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len().max(1) as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let squares = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    let (products, squares) = (products.sum::<f64>(), squares.sum::<f64>());
    if squares == 0.0 {
        0.0
    } else {
        products / squares
    }
}

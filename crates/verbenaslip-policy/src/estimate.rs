//! Estimators that weigh newer samples more: a mean and a linear fit.

use verbenaslip_base::data;

/// Keeps an exponentially weighted mean.
#[data(copy, float)]
pub struct Mean {
    value: f64,
    sample_weight: f64,
}

impl Mean {
    /// Creates a mean with an initial value. `sample_weight` is the weight of each new sample, from
    /// 0 to 1.
    pub fn new(value: f64, sample_weight: f64) -> Self {
        Self { value, sample_weight: sample_weight.clamp(0.0, 1.0) }
    }

    /// Adds a sample. A sample that is not a finite number is ignored.
    pub fn add(&mut self, sample: f64) {
        if sample.is_finite() {
            self.value += self.sample_weight * (sample - self.value);
        }
    }

    /// Returns the mean.
    pub fn value(&self) -> f64 {
        self.value
    }
}

/// Fits `y = base + slope * x` to samples, with more weight on newer samples.
///
/// A prior with the weight of a few samples keeps the fit stable when all samples have the same x.
#[data(copy, float)]
pub struct LinearFit {
    decay: f64,
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    /// Creates a fit from a prior line, given by two points `span` apart that each weigh as much as
    /// four samples.
    pub fn new(base: f64, slope: f64, span: f64) -> Self {
        let mut fit = Self { decay: 1.0, weight: 0.0, x: 0.0, y: 0.0, xx: 0.0, xy: 0.0 };
        for _ in 0..4 {
            fit.add(0.0, base);
            fit.add(span, base + slope * span);
        }
        fit.decay = 0.98;
        fit
    }

    /// Adds a sample. A sample that is not a pair of finite numbers is ignored.
    pub fn add(&mut self, x: f64, y: f64) {
        if !(x.is_finite() && y.is_finite()) {
            return;
        }
        self.weight = self.weight * self.decay + 1.0;
        self.x = self.x * self.decay + x;
        self.y = self.y * self.decay + y;
        self.xx = self.xx * self.decay + x * x;
        self.xy = self.xy * self.decay + x * y;
    }

    /// Returns the slope, which is never negative.
    pub fn slope(&self) -> f64 {
        let spread = self.weight * self.xx - self.x * self.x;
        // With nearly equal x values, the division would turn noise into a huge slope.
        if spread <= 1e-9 * self.weight * self.xx.max(1.0) {
            return 0.0;
        }
        ((self.weight * self.xy - self.x * self.y) / spread).max(0.0)
    }

    /// Returns the fitted value at `x`, which is never negative.
    pub fn value_at(&self, x: f64) -> f64 {
        let mean = self.x / self.weight;
        (self.y / self.weight + self.slope() * (x - mean)).max(0.0)
    }
}

package meter

import "time"

const (
	meanWeight      = 1.0 / 16 // of the newest sample in the moving averages
	deviationFactor = 1.0      // deviations that Smoothed.Upper adds to the mean
)

// Smoothed is a moving average of durations with their mean deviation. The zero
// value has no samples. It is not safe for concurrent use.
type Smoothed struct {
	mean, deviation time.Duration
}

// Add adds a sample.
func (s *Smoothed) Add(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
		return
	}
	diff := d - s.mean
	s.mean += time.Duration(meanWeight * float64(diff))
	s.deviation += time.Duration(meanWeight * float64(max(diff, -diff)-s.deviation))
}

// Upper returns the mean plus the mean deviation, which most samples are below, or 0
// without a sample.
func (s *Smoothed) Upper() time.Duration {
	return s.mean + time.Duration(deviationFactor*float64(s.deviation))
}

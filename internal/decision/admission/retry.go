package admission

// minRetries is the retries that are let through before anything was served, so
// that the first server that crashes does not lose its requests.
const minRetries = 10

// maxRetries bounds what a long quiet time saves up: a server that dies has at
// most its slots' worth of requests to retry.
const maxRetries = 100

// budget is a token bucket filled by served requests.
type budget struct{ left float64 }

// RecordServed notes that a request was answered whole: it earns part of a retry.
func (c *Controller) RecordServed(profile string, retryBudget float64) {
	b := c.budget(profile)
	b.left = min(b.left+retryBudget, maxRetries)
}

// AllowRetry asks for one retry within the profile's budget. Without the bound a
// slow fleet gets every request two or three times and never recovers.
func (c *Controller) AllowRetry(profile string) bool {
	b := c.budget(profile)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

func (c *Controller) budget(profile string) *budget {
	b := c.budgets[profile]
	if b == nil {
		b = &budget{left: minRetries}
		c.budgets[profile] = b
	}
	return b
}

package admission

// initialRetries is the number of retries that are allowed before any request was served, so
// that the first server that crashes does not lose its requests.
const initialRetries = 10

// maxSavedRetries bounds the retries saved up in a quiet time: a server that dies has at
// most its slots' worth of requests to retry.
const maxSavedRetries = 100

// retryBucket is a token bucket filled by served requests.
type retryBucket struct{ tokens float64 }

// RecordServed records that a request was answered completely; it adds retryBudget, a
// fraction of a retry, to the profile's bucket.
func (c *Controller) RecordServed(profile string, retryBudget float64) {
	b := c.bucketFor(profile)
	b.tokens = min(b.tokens+retryBudget, maxSavedRetries)
}

// AllowRetry takes one retry from the profile's bucket and reports whether there was one.
// Without this bound a slow fleet gets every request two or three times and never recovers.
func (c *Controller) AllowRetry(profile string) bool {
	b := c.bucketFor(profile)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (c *Controller) bucketFor(profile string) *retryBucket {
	b := c.retryBuckets[profile]
	if b == nil {
		b = &retryBucket{tokens: initialRetries}
		c.retryBuckets[profile] = b
	}
	return b
}

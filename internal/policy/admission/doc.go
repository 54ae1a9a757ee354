// Package admission decides which queued request starts next and which is refused, by rank, guaranteed floor, fairness
// among callers, and deadline.
package admission

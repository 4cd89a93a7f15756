package quota

import "fescuelanding/platform"

// Amount is what tasks request.
type Amount = platform.Capacity

// Unlimited is a share of a resource that has no limit. It is small enough for sums.
const Unlimited = 1 << 50

// dimensions returns pointers to the fields of an amount, so that each resource is treated
// alike.
func dimensions(a *Amount) [3]*int64 { return [...]*int64{&a.MilliCPU, &a.MemoryMB, &a.GPUs} }

// combine applies a function to each resource of two amounts.
func combine(a, b Amount, f func(x, y int64) int64) Amount {
	var out Amount
	o, x, y := dimensions(&out), dimensions(&a), dimensions(&b)
	for i := range o {
		*o[i] = f(*x[i], *y[i])
	}
	return out
}

// Sum returns the sum of two amounts.
func Sum(a, b Amount) Amount {
	return combine(a, b, func(x, y int64) int64 { return x + y })
}

// Scale returns an amount multiplied by n.
func Scale(a Amount, n int64) Amount {
	return combine(a, a, func(x, _ int64) int64 { return x * n })
}

// Less returns the first amount without the second. It may be negative.
func Less(a, b Amount) Amount {
	return combine(a, b, func(x, y int64) int64 { return x - y })
}

// Larger returns the larger amount of each resource.
func Larger(a, b Amount) Amount {
	return combine(a, b, func(x, y int64) int64 { return max(x, y) })
}

// Smaller returns the smaller amount of each resource.
func Smaller(a, b Amount) Amount {
	return combine(a, b, func(x, y int64) int64 { return min(x, y) })
}

// fits reports whether a total stays within a bound in each resource that is requested.
func fits(total, requested, bound Amount) bool {
	t, r, b := dimensions(&total), dimensions(&requested), dimensions(&bound)
	for i := range t {
		if *r[i] > 0 && *t[i] > *b[i] {
			return false
		}
	}
	return true
}

// open returns an amount with Unlimited for each resource that a limit leaves open.
func open(a, limit Amount) Amount {
	return combine(a, limit, func(x, l int64) int64 {
		if l >= Unlimited {
			return Unlimited
		}
		return x
	})
}

// Times returns how often a unit fits into an amount, and false if the unit is zero.
func Times(a, unit Amount) (n int64, ok bool) {
	x, u := dimensions(&a), dimensions(&unit)
	for i := range x {
		if *u[i] <= 0 {
			continue
		}
		if f := max(0, *x[i]) / *u[i]; !ok || f < n {
			n, ok = f, true
		}
	}
	return n, ok
}

// bound returns a limit with Unlimited where it has none.
func bound(limit Amount) Amount {
	return combine(limit, limit, func(x, _ int64) int64 {
		if x <= 0 {
			return Unlimited
		}
		return x
	})
}

// limits returns the limits of the workspaces that have any.
func limits(l []platform.Workspace) map[string]Amount {
	m := make(map[string]Amount)
	for _, w := range l {
		if w.Limit != (Amount{}) {
			m[w.Name] = bound(w.Limit)
		}
	}
	return m
}

import {describe, expect, it} from 'vitest';
import {playSpeeds} from '../tools/speed-model.js';

const common = {
	hosts: 4, instances: 6, runMs: 150, targetMs: 300, timeoutMs: 750, meanStayMs: 500, seconds: 40,
};

describe('requests to instances half of which alternate between 100% and 300% of the usual time', () => {
	describe.each([1, 2, 3])('with seed %s', seed => {
		const play = (load: number, reported: 'nothing' | 'one' | 'present') => playSpeeds({
			...common, seed, load, reported,
		});

		it('end within their target more often with the figure, also than with a figure that says nothing', () => {
			const {inTarget, refused} = play(0.7, 'present');
			expect(inTarget).toBeGreaterThan(play(0.7, 'nothing').inTarget + 0.05);
			expect(inTarget).toBeGreaterThan(play(0.7, 'one').inTarget + 0.02);
			expect(refused).toBeLessThan(play(0.7, 'nothing').refused);
		});

		it('do so near the capacity, too', () => {
			expect(play(0.9, 'present').inTarget).toBeGreaterThan(play(0.9, 'nothing').inTarget + 0.05);
		});

		it('do not miss their target much more often under an overload, where all queues would fill evenly', () => {
			expect(play(1.2, 'present').inTarget).toBeGreaterThan(0.85 * play(1.2, 'nothing').inTarget);
		});
	});
});

import {type HybridTime} from '../timeline/hybrid-clock.js';

/** A request, which expects one response with the same number. */
export type RequestMessage = {
	readonly kind: 'request';
	readonly number: number;
	readonly name: string;
	readonly body: unknown;
	readonly time: HybridTime;
};

/** The response to the request with the same number. Code 0 is success; otherwise the body is the detail of the error as a string. */
export type ResponseMessage = {
	readonly kind: 'response';
	readonly number: number;
	readonly code: number;
	readonly body: unknown;
	readonly time: HybridTime;
};

/** A message without a response. */
export type NoticeMessage = {
	readonly kind: 'notice';
	readonly name: string;
	readonly body: unknown;
	readonly time: HybridTime;
};

/** Any message sent over a link. */
export type LinkMessage = RequestMessage | ResponseMessage | NoticeMessage;

/** Name of the keepalive notice. */
export const pingName = 'ping';

/** Body of the keepalive notice; null from processes of earlier builds. */
export type PingBody = {
	/** Whether the sender reads compressed frames. */
	readonly readsCompressed: boolean;
	/** Whether the link may be silent while neither end needs the other; absent for other links. */
	readonly mayBeSilent?: true;
	/** Whether the sender needs a reply at once, to see that the link works; absent otherwise. */
	readonly needsReply?: true;
};
